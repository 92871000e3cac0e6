package event

import "github.com/rs/zerolog"

// Events of the listeners and their certificates: 2050 to 2099.
var (
	CertificateLoaded  = register(2050, "certificate_loaded", zerolog.InfoLevel, "The certificate files of a listener, or of the transport between nodes, changed and the new certificate is in use.", "none")
	CertificateRefused = register(2051, "certificate_refused", zerolog.ErrorLevel, "The certificate files of a listener, or of the transport between nodes, changed but cannot be used; the old certificate stays in use.", "fix the files named in the error field before the old certificate expires")
	CertificateExpires = register(2052, "certificate_expires_soon", zerolog.WarnLevel, "The certificate of a listener, or of the transport between nodes, expires within a week.", "replace the certificate files; no restart is needed")
	ListenerServing    = register(2053, "listener_serving", zerolog.InfoLevel, "A listener accepts connections.", "none")
	ListenerFault      = register(2054, "listener_connection_fault", zerolog.DebugLevel, "A connection failed before its request was read: a bad TLS handshake or malformed HTTP.", "none; check for a misconfigured caller if it repeats")
)
