//go:build deps

// Package deps pins the modules the project declares before every package that uses them exists.
package deps

import (
	_ "cel.dev/cel-go/cel"
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cockroachdb/pebble"
	_ "github.com/oklog/ulid/v2"
	_ "github.com/openai/openai-go"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/rs/zerolog"
	_ "github.com/spf13/cobra"
	_ "github.com/uptrace/bunrouter"
	_ "go.etcd.io/bbolt"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "google.golang.org/protobuf/proto"
	_ "gopkg.in/tomb.v2"
	_ "gopkg.in/yaml.v3"
	_ "gotest.tools/v3/assert"
	_ "pgregory.net/rapid"
	_ "storj.io/drpc/drpcconn"
	_ "storj.io/drpc/drpcmetadata"
	_ "storj.io/drpc/drpcmux"
	_ "storj.io/drpc/drpcserver"
)
