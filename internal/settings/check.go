package settings

// Check returns what is wrong with the settings as a whole: required fields that are absent and fields that clash.
// The ranges of single fields are checked where they are set.
func Check(settings Settings) Problems {
	var found Problems
	found = append(found, checkRequired(&settings)...)
	found = append(found, checkRanges(&settings)...)
	found = append(found, checkAddresses(settings)...)
	found = append(found, checkCertificates(settings)...)
	found = append(found, checkTimes(settings)...)
	found = append(found, checkProcess(settings.Process)...)
	return found
}

func checkRequired(settings *Settings) Problems {
	var found Problems
	for _, field := range fields {
		value := field.value(settings)
		if field.Required && (value.IsZero() || field.IsList() && value.Len() == 0) {
			found = append(found, Problem{Field: field.Path, Message: "required field is missing"})
		}
	}
	return found
}

// checkRanges finds values that were set in code, past the checks of the decoder.
func checkRanges(settings *Settings) Problems {
	var found Problems
	for _, field := range fields {
		value := field.value(settings)
		bounded := field.Minimum != "" || field.Maximum != "" || len(field.OneOf) > 0
		if !bounded {
			continue
		}
		if err := field.checkRange(value, format(value)); err != nil {
			found = append(found, Problem{Field: field.Path, Message: err.Error()})
		}
	}
	return found
}

func checkAddresses(settings Settings) Problems {
	var found Problems
	if settings.AdvertiseAddress().Unspecified() {
		found = append(found, Problem{Field: "listen.advertise", Message: "must be given when listen.peer stands for every address of the machine"})
	}
	listeners := []struct {
		field   string
		address Address
	}{
		{"listen.caller", settings.Listen.Caller},
		{"listen.admin", settings.Listen.Admin},
		{"listen.peer", settings.Listen.Peer},
	}
	for index, listener := range listeners {
		for _, earlier := range listeners[:index] {
			if listener.address == earlier.address && !ephemeral(listener.address) {
				found = append(found, Problem{Field: listener.field, Message: "is the same address as " + earlier.field})
			}
		}
	}
	return found
}

func checkCertificates(settings Settings) Problems {
	var found Problems
	found = append(found, checkCertificate("tls.caller", settings.TLS.Caller)...)
	found = append(found, checkCertificate("tls.admin", settings.TLS.Admin)...)
	found = append(found, checkCertificate("tls.peer", settings.TLS.Peer)...)
	found = append(found, checkCertificate("tls.key_value", settings.TLS.KeyValue)...)
	if settings.TLS.KeyValue.Enabled() && settings.TLS.KeyValue.CA == "" {
		found = append(found, Problem{Field: "tls.key_value.ca", Message: "required with tls.key_value.cert: the service's certificate is checked against it"})
	}
	peer := settings.TLS.Peer
	if !peer.Enabled() && !(settings.Listen.Peer.Loopback() && settings.AdvertiseAddress().Loopback()) {
		found = append(found, Problem{Field: "tls.peer.cert", Message: "required: listen.peer is reachable from other machines"})
	}
	if peer.Enabled() && peer.CA == "" {
		found = append(found, Problem{Field: "tls.peer.ca", Message: "required with tls.peer.cert: nodes authenticate each other"})
	}
	return found
}

func checkCertificate(field string, certificate Certificate) Problems {
	var found Problems
	if certificate.Cert != "" && certificate.Key == "" {
		found = append(found, Problem{Field: field + ".key", Message: "required with " + field + ".cert"})
	}
	if certificate.Key != "" && certificate.Cert == "" {
		found = append(found, Problem{Field: field + ".cert", Message: "required with " + field + ".key"})
	}
	if certificate.CA != "" && certificate.Cert == "" && certificate.Key == "" {
		found = append(found, Problem{Field: field + ".cert", Message: "required with " + field + ".ca"})
	}
	return found
}

func checkTimes(settings Settings) Problems {
	var found Problems
	if settings.Jobs.MinimumCopies > settings.Jobs.Replicas {
		found = append(found, Problem{Field: "jobs.minimum_copies", Message: "is larger than jobs.replicas, so no job could ever be accepted"})
	}
	if settings.Jobs.DiskBytes > 0 && settings.Jobs.DiskBytes <= settings.Jobs.DiskReserve {
		found = append(found, Problem{Field: "jobs.disk_bytes", Message: "is not larger than jobs.disk_reserve, so no job could ever be accepted"})
	}
	if settings.Membership.ProbeTimeout >= settings.Membership.ProbeInterval {
		found = append(found, Problem{Field: "membership.probe_timeout", Message: "must be shorter than membership.probe_interval"})
	}
	if settings.Limits.BufferedBodyBytes < settings.Limits.BodyBytes {
		found = append(found, Problem{Field: "limits.buffered_body_bytes", Message: "is smaller than limits.body_bytes, so the largest body could never be taken"})
	}
	return found
}

// leastMemoryTarget is what a node needs before any load; below it the collector would never rest.
const leastMemoryTarget = 32 * mebibyte

func checkProcess(process Process) Problems {
	var found Problems
	if process.Processors > 0 && process.IdleProcessors > process.Processors {
		found = append(found, Problem{Field: "process.idle_processors", Message: "is larger than process.processors"})
	}
	if process.MemoryTarget > 0 && process.MemoryTarget < leastMemoryTarget {
		found = append(found, Problem{Field: "process.memory_target", Message: "is below " + leastMemoryTarget.String() + ", which a node needs before any load"})
	}
	return found
}
