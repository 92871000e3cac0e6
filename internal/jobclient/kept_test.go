package jobclient_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/job"
	"mallowlatch.example/mallowlatch/internal/jobclient"
	"mallowlatch.example/mallowlatch/internal/jobstore"
)

// keptSchedule is a schedule kept as a test: one job on node a, one worker, and the world to make faults in.
type keptSchedule struct {
	*world
	ctx    context.Context
	client *jobclient.Client
	job    job.Job
}

func keep(t *testing.T, content string) *keptSchedule {
	t.Helper()
	k := &keptSchedule{world: newWorld(t), ctx: context.Background()}
	k.client = k.world.client("w1")
	t.Cleanup(func() { assert.NilError(t, k.client.Close()) })
	file, err := k.client.CreateFile(k.ctx, job.FileSpec{Tenant: tenant, Purpose: jobstore.PurposeBatch}, strings.NewReader(content))
	assert.NilError(t, err)
	k.job, _, err = k.client.Submit(k.ctx, job.Spec{Tenant: tenant, InputFile: file.ID, Endpoint: inference.ChatCompletions, Window: time.Hour})
	assert.NilError(t, err)
	k.tick()
	return k
}

func (k *keptSchedule) tick() {
	for _, node := range k.nodes {
		_ = node.server.Tick(k.ctx)
	}
}

func (k *keptSchedule) lease(t *testing.T) job.Lease {
	t.Helper()
	lease, err := k.client.Lease(k.ctx, 0, k.job.ID, job.LeaseRequest{Worker: "w1", Services: []string{"stock"}, Max: 10})
	assert.NilError(t, err)
	return lease
}

// TestADeposedLeaderRenewsNothing: the worker still asks the old leader, which has not noticed, after a cancellation at
// the new one.
func TestADeposedLeaderRenewsNothing(t *testing.T) {
	k := keep(t, line("a", ""))
	lease := k.lease(t)
	assert.Equal(t, len(lease.Items), 1)
	caller := k.world.client("caller")
	k.changeLeader("b", false)
	_, err := caller.Cancel(k.ctx, tenant, k.job.ID)
	assert.NilError(t, err)
	lost, err := k.client.Renew(k.ctx, 0, "w1", []string{lease.ID})
	assert.Assert(t, err != nil || len(lost) == 1)
	assert.NilError(t, caller.Close())
}

// TestALateReleaseLeavesAnotherLeaseAlone: a release arrives twice, the second time after the item was started under
// another lease, and then the leader changes.
func TestALateReleaseLeavesAnotherLeaseAlone(t *testing.T) {
	k := keep(t, line("a", `,"repeatable":false`))
	k.callFault = doubled
	first := k.lease(t)
	k.heal()
	k.callFault = doubled
	assert.NilError(t, k.client.Release(k.ctx, first, []uint32{0}))
	second := k.lease(t)
	assert.Equal(t, len(second.Items), 1)
	k.heal()
	k.changeLeader("b", true)
	for range 3 {
		k.tick()
		k.now = k.now.Add(second.TTL)
	}
	assert.Equal(t, len(k.lease(t).Items), 0, "the item may have run under the second lease")
	ended, err := k.client.Job(k.ctx, tenant, k.job.ID)
	assert.NilError(t, err)
	assert.Equal(t, ended.Counts, job.Counts{Total: 1, Failed: 1})
}

// TestALateStartMarkIsReleased: a start takes effect after its lease was withdrawn.
func TestALateStartMarkIsReleased(t *testing.T) {
	k := keep(t, line("a", `,"repeatable":false`))
	k.proposalFault = late
	_, err := k.client.Lease(k.ctx, 0, k.job.ID, job.LeaseRequest{Worker: "w1", Services: []string{"stock"}, Max: 10})
	assert.Assert(t, err != nil)
	k.client.WaitBackground()
	k.tick()
	k.heal()
	assert.Equal(t, len(k.lease(t).Items), 0, "the mark is found")
	k.tick()
	lease := k.lease(t)
	assert.Equal(t, len(lease.Items), 1)
	assert.NilError(t, k.client.Complete(k.ctx, lease, answers(lease.Items)))
}

// TestANewLeaderWaitsBeforeItEndsAStoppedJob: a worker of the old leader may still start items of a cancelled job.
func TestANewLeaderWaitsBeforeItEndsAStoppedJob(t *testing.T) {
	k := keep(t, line("a", ""))
	lease := k.lease(t)
	_, err := k.client.Cancel(k.ctx, tenant, k.job.ID)
	assert.NilError(t, err)
	k.changeLeader("b", true)
	for _, expected := range []job.Status{job.Cancelling, job.Cancelled} {
		k.tick()
		found, err := k.client.Job(k.ctx, tenant, k.job.ID)
		assert.NilError(t, err)
		assert.Equal(t, found.Status, expected)
		k.now = k.now.Add(2 * lease.TTL)
	}
}

// TestAdoptionOutlivesALostAnswerOfComplete: the worker reports an item it does not know to be recorded.
func TestAdoptionOutlivesALostAnswerOfComplete(t *testing.T) {
	k := keep(t, line("a", `,"repeatable":false`)+line("b", `,"repeatable":false`))
	lease := k.lease(t)
	results := answers(lease.Items)
	k.changeLeader("a", true)
	k.client.Attempt(func() {
		k.callFault = answerLost
		assert.Assert(t, k.client.Complete(k.ctx, lease, results[:1]) != nil)
	})
	lost, err := k.client.Renew(k.ctx, 0, "w1", []string{lease.ID})
	assert.NilError(t, err)
	assert.Equal(t, len(lost), 0)
	assert.NilError(t, k.client.Complete(k.ctx, lease, results))
}
