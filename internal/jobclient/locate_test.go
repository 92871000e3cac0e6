package jobclient_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/job"
	"mallowlatch.example/mallowlatch/internal/jobstore"
)

// A worker whose directory names a member that does not lead finds the leader's jobs by its second look, though it makes
// no other call on the shard.
func TestWaitingFindsALeaderTheDirectoryDoesNotKnow(t *testing.T) {
	w := newWorld(t)
	ctx := context.Background()
	submitter, idle := w.client("submitter"), w.client("worker")
	w.changeLeader("b", true)
	w.known = "a"
	file, err := submitter.CreateFile(ctx, job.FileSpec{Tenant: tenant, Purpose: jobstore.PurposeBatch}, strings.NewReader(lines(2)))
	assert.NilError(t, err)
	_, _, err = submitter.Submit(ctx, job.Spec{Tenant: tenant, InputFile: file.ID, Endpoint: inference.ChatCompletions, Window: time.Hour})
	assert.NilError(t, err)
	assert.NilError(t, w.nodes["b"].server.Tick(ctx))
	_, err = idle.Waiting(ctx, 10)
	assert.NilError(t, err)
	waiting, err := idle.Waiting(ctx, 10)
	assert.NilError(t, err)
	assert.Equal(t, len(waiting), 1)
	assert.NilError(t, submitter.Close())
	assert.NilError(t, idle.Close())
}
