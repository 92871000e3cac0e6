package dev

import (
	"fmt"

	"mallowlatch.example/mallowlatch/internal/lab/fleet"
	"mallowlatch.example/mallowlatch/internal/node"
)

const description = `mallowlatch dev: a small site on loopback. Engines and platform are stand-ins; nothing is kept. Stop with Ctrl-C.

  caller API  http://%[1]s
  admin API   http://%[2]s

Paste these:

  export MALLOWLATCH_CALLER_KEY=%[3]s
  export MALLOWLATCH_ADMIN_KEY=%[4]s

  # an online request, streamed
  curl -N http://%[1]s/v1/chat/completions -H "Authorization: Bearer $MALLOWLATCH_CALLER_KEY" \
    -d '{"model":"%[5]s","stream":true,"max_tokens":32,"messages":[{"role":"user","content":"When may I give blood again?"}]}'

  # a request that runs at most once, however often it is sent
  curl http://%[1]s/v1/chat/completions -H "Authorization: Bearer $MALLOWLATCH_CALLER_KEY" -H "Idempotency-Key: booking-1" \
    -d '{"model":"%[6]s","max_tokens":16,"messages":[{"role":"user","content":"Confirm Tuesday 9:30."}]}'

  # a batch job
  echo '{"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{"model":"%[5]s","messages":[{"role":"user","content":"Roster for Monday"}]}}' > items.jsonl
  curl http://%[1]s/v1/files -H "Authorization: Bearer $MALLOWLATCH_CALLER_KEY" -F purpose=batch -F file=@items.jsonl
  curl http://%[1]s/v1/batches -H "Authorization: Bearer $MALLOWLATCH_CALLER_KEY" \
    -d '{"input_file_id":"FILE_ID","endpoint":"/v1/chat/completions","completion_window":"24h"}'

  # what operators see
  go run ./cmd/mallowlatch runner status --server http://%[2]s --key $MALLOWLATCH_ADMIN_KEY
  go run ./cmd/mallowlatch get services --server http://%[2]s --key $MALLOWLATCH_ADMIN_KEY

`

func (s *site) describe(assembled *node.Node) error {
	_, err := fmt.Fprintf(s.options.Out, description,
		assembled.CallerAddress(), assembled.AdminAddress(), s.keys.Online, s.keys.Admin, fleet.Service, fleet.OnceService)
	if err != nil {
		return fmt.Errorf("print the description: %w", err)
	}
	return nil
}
