package experiment

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/rs/zerolog"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/lab/authority"
	"mallowlatch.example/mallowlatch/internal/lab/fleet"
	"mallowlatch.example/mallowlatch/internal/lab/load"
	"mallowlatch.example/mallowlatch/internal/shardmap/shardmappb"
	"mallowlatch.example/mallowlatch/internal/transport"
)

const (
	// certificateRate is the default load, in requests per second.
	certificateRate      = 30
	certificateHeapEvery = 8 * time.Second
	certificateHeapItems = 80
	// certificateSettle is how long the nodes have to take up changed files: several of their looks.
	certificateSettle = 4 * time.Second
	// certificateRenewals are the replacements by the same authority before the change to another one.
	certificateRenewals = 2
	probeTimeout        = 10 * time.Second
	probeName           = "lab-probe"
)

// runCertificates replaces the certificates of a fleet with TLS on all listeners under load, first by the same authority
// and then by another one, and counts requests that were not answered whole. Afterwards a node of neither authority, and
// one of the former, must be refused by every node.
func runCertificates(ctx context.Context, environment *environment) (Measurement, error) {
	change := &certificateChange{directory: environment.options.Directory, fields: Fields{}}
	measured, err := environment.runPhase(ctx, phase{
		name:  "certificates",
		nodes: true,
		tls:   true,
		load: load.Options{
			Rate:       environment.rate(certificateRate),
			BatchEvery: certificateHeapEvery,
			BatchItems: certificateHeapItems,
			Drain:      faultDrain,
		},
		shape: func(options *load.Options, started *fleet.Fleet) {
			options.Authorities = authority.Pool(started.Certificates.First, started.Certificates.Second)
			// Connections that are not kept make every request meet the certificate in use.
			options.FreshConnections = true
		},
		during: change.run,
	})
	if err != nil {
		return Measurement{}, err
	}
	for name, value := range faultFields(measured.report) {
		change.fields[name] = value
	}
	return Measurement{Fields: change.fields}, nil
}

// certificateChange replaces certificates and counts who is let in.
type certificateChange struct {
	directory string
	fields    Fields
}

func (c *certificateChange) run(ctx context.Context, started *fleet.Fleet) error {
	first, second := started.Certificates.First, started.Certificates.Second
	var steps []func() error
	for range certificateRenewals {
		steps = append(steps, func() error { return started.IssueAll(first) })
	}
	// Trust goes before use, and distrust after it: at no time meet two nodes of which one does not know the other's.
	steps = append(steps,
		func() error { return started.TrustAll(first, second) },
		func() error { return started.IssueAll(second) },
		func() error { return started.TrustAll(second) },
	)
	for number, step := range steps {
		if !sleep(ctx, certificateSettle) {
			return fmt.Errorf("%w: the load ended before step %d of the change", ErrSetup, number+1)
		}
		if err := step(); err != nil {
			return err
		}
		c.fields["steps"]++
	}
	if !sleep(ctx, certificateSettle) {
		return fmt.Errorf("%w: the load ended before the change was in use", ErrSetup)
	}
	return c.probe(ctx, started)
}

// probe counts the listeners that show a certificate of the second authority, and the peer listeners that let in a node
// of each authority.
func (c *certificateChange) probe(ctx context.Context, started *fleet.Fleet) error {
	stranger, err := authority.New("foreign authority")
	if err != nil {
		return err
	}
	second := started.Certificates.Second
	for _, node := range started.Nodes {
		for _, address := range []string{node.Caller, node.Admin} {
			c.count("listeners_renewed", showsCertificateOf(ctx, address, second))
		}
		for name, signer := range map[string]*authority.Authority{
			"peer_let_in_second": second, "peer_let_in_former": started.Certificates.First, "peer_let_in_foreign": stranger,
		} {
			letIn, err := c.letsIn(ctx, node, signer, second)
			if err != nil {
				return err
			}
			c.count(name, letIn)
		}
	}
	return nil
}

func (c *certificateChange) count(name string, holds bool) {
	if holds {
		c.fields[name]++
	} else {
		c.fields[name] += 0
	}
}

// showsCertificateOf reports whether a listener serves a certificate of an authority.
func showsCertificateOf(ctx context.Context, address string, signer *authority.Authority) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	dialer := &tls.Dialer{Config: &tls.Config{RootCAs: authority.Pool(signer)}}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = connection.Close()
	return true
}

// letsIn reports whether a node's peer listener answers a call of a node with a certificate of an authority. The caller
// trusts the listener's own authority, so that only the listener can refuse.
func (c *certificateChange) letsIn(ctx context.Context, node fleet.Node, signer, listener *authority.Authority) (bool, error) {
	files, err := c.writeProbe(signer, listener)
	if err != nil {
		return false, err
	}
	credentials, err := transport.LoadCredentials(files, zerolog.Nop())
	if err != nil {
		return false, fmt.Errorf("credentials of the probe: %w", err)
	}
	pool := transport.NewPool(transport.PoolOptions{
		Lookup:      func(ident.Node) (string, bool) { return node.Peer, true },
		Credentials: credentials,
	})
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	connection, err := pool.Conn(ctx, ident.Node(node.ID))
	if err != nil {
		return false, fmt.Errorf("probe: %w", err)
	}
	_, err = shardmappb.NewDRPCShardMapClient(connection).Read(ctx, &shardmappb.ReadRequest{})
	// A node without a disk does not know the call; that it says so means that its listener let the call in.
	letIn := err == nil || errors.Is(err, transport.ErrRemote)
	return letIn, pool.Close()
}

func (c *certificateChange) writeProbe(signer, trusted *authority.Authority) (transport.Files, error) {
	pair, err := signer.Issue(probeName, net.IPv4(127, 0, 0, 1))
	if err != nil {
		return transport.Files{}, err
	}
	path := c.directory + "/" + probeName
	files := transport.Files{Certificate: path + ".crt", Key: path + ".key", Authority: path + "-authorities.crt"}
	return files, errors.Join(
		authority.Replace(files.Key, pair.Key),
		authority.Replace(files.Certificate, pair.Certificate),
		authority.Replace(files.Authority, authority.Bundle(trusted)),
	)
}
