package jobworker

import (
	"context"
	"slices"
	"sync"
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/progress"
	"mallowlatch.example/mallowlatch/internal/rendezvous"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// mirrorSendTimeout bounds one transfer of output to its mirror peer.
	mirrorSendTimeout = 400 * time.Millisecond
	// mirrorFetchTimeout bounds the calls for output when a job is taken over. If a node does not answer, its items may
	// have to run again from the beginning.
	mirrorFetchTimeout = 200 * time.Millisecond
	// minMirroredAge is the age below which a job has no output worth fetching.
	minMirroredAge = 1500 * time.Millisecond
)

// Mirrors carries the partial output of items to other workers, and back from them.
type Mirrors interface {
	// Send sends updates to the worker at an address. It returns the items that must be sent from the beginning.
	Send(ctx context.Context, address string, updates []progress.Update) (gaps []ident.Request, err error)
	// Fetch returns the output of a job that the worker at an address stores.
	Fetch(ctx context.Context, address string, job ident.Job) ([]progress.Output, error)
}

// Mirror stores output of another worker's items. It returns the items that must be sent from the beginning.
func (w *Worker) Mirror(updates []progress.Update) []ident.Request {
	if w.MirrorJournal != nil {
		gaps, err := w.MirrorJournal.Store(updates, w.Now())
		if err != nil {
			event.MirrorFailed.Log(w.Logger).Int("updates", len(updates)).Err(err).Send()
		}
		return gaps
	}
	var gaps []ident.Request
	for index := range updates {
		gaps = append(gaps, w.mirror.Apply(&updates[index], w.Now())...)
	}
	return gaps
}

// Mirrored returns the output of a job that is stored here for another worker.
func (w *Worker) Mirrored(job ident.Job) []progress.Output {
	if w.MirrorJournal != nil {
		return w.MirrorJournal.Mirror.Outputs(job)
	}
	return w.mirror.Outputs(job)
}

// mirrorLoop sends the new output of the items in progress to a second worker.
func (w *Worker) mirrorLoop() error {
	if w.Mirrors == nil {
		return nil
	}
	for w.pause(w.Options.MirrorEvery) {
		var sending sync.WaitGroup
		for address, batch := range w.pendingMirrors() {
			sending.Add(1)
			w.tomb.Go(func() error {
				defer sending.Done()
				w.sendMirror(address, batch)
				return nil
			})
		}
		sending.Wait()
	}
	return nil
}

// pendingPiece is output of an item in transfer to its mirror peer.
type pendingPiece struct {
	item *itemRun
	// length is how much of the output the peer has once the piece has arrived, and lastEventRun the run that produced its
	// end.
	length       int
	lastEventRun progress.RunID
	// transfers is the item's count of transfers when the piece was taken.
	transfers int
}

// mirrorBatch is what one worker is sent at once.
type mirrorBatch struct {
	updates []progress.Update
	pieces  []pendingPiece
}

// pendingMirrors returns the output that mirror peers lack, by their addresses.
func (w *Worker) pendingMirrors() map[string]*mirrorBatch {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	batches := map[string]*mirrorBatch{}
	for _, job := range w.jobs {
		mirrorPeer, found := w.mirrorPeerOf(job)
		if !found {
			continue
		}
		update, pieces := job.pendingOutput()
		if len(pieces) == 0 {
			continue
		}
		batch := batches[mirrorPeer.Address]
		if batch == nil {
			batch = &mirrorBatch{}
			batches[mirrorPeer.Address] = batch
		}
		batch.updates = append(batch.updates, update)
		batch.pieces = append(batch.pieces, pieces...)
	}
	return batches
}

// mirrorPeerOf returns the worker that stores a second copy of a job's output. It is chosen once for each list of workers; another
// one is sent the output from the beginning. The caller must hold the mutex.
func (w *Worker) mirrorPeerOf(job *jobRun) (jobrecord.Worker, bool) {
	current := w.rosterNow()
	if job.mirrorRoster != current {
		job.mirrorRoster = current
		peer, _ := rendezvous.First(string(job.header.ID), slices.Values(current.mirrors))
		if job.mirrorPeer != peer {
			job.mirrorPeer = peer
			job.resetMirrored()
		}
	}
	worker, found := w.workers[job.mirrorPeer]
	return worker, found
}

// pendingOutput returns the output of the job's items that the mirror peer lacks. The caller must hold the worker's mutex.
func (j *jobRun) pendingOutput() (progress.Update, []pendingPiece) {
	update := progress.Update{Job: j.header.ID}
	var pieces []pendingPiece
	for _, item := range j.items {
		if item.finished || item.text.Len() <= item.mirrored {
			continue
		}
		text := append([]byte(nil), item.text.Bytes()[item.mirrored:]...)
		update.Pieces = append(update.Pieces, progress.OutputPart{
			Item: item.item.ID, Run: item.lastEventRun, Before: item.mirroredRun, Offset: item.mirrored, LastEvent: item.lastEvent, Text: text, Origin: item.origin,
		})
		pieces = append(pieces, pendingPiece{item: item, length: item.text.Len(), lastEventRun: item.lastEventRun, transfers: item.transfers})
	}
	return update, pieces
}

// resetMirrored has all output sent from the beginning. The caller must hold the worker's mutex.
func (j *jobRun) resetMirrored() {
	for _, item := range j.items {
		item.restartTransfer()
	}
}

// restartTransfer has an item's output sent from the beginning. The answer to a piece that is on its way says nothing of it. The caller must
// hold the worker's mutex.
func (i *itemRun) restartTransfer() {
	i.mirrored = 0
	i.transfers++
}

// sendMirror makes one call and records what arrived.
func (w *Worker) sendMirror(address string, batch *mirrorBatch) {
	ctx, cancel := context.WithTimeout(w.ctx, mirrorSendTimeout)
	defer cancel()
	gaps, err := w.Mirrors.Send(ctx, address, batch.updates)
	if err != nil {
		event.MirrorFailed.Log(w.Logger).Str("worker", address).Int("items", len(batch.pieces)).Err(err).Send()
		return
	}
	missing := make(map[ident.Request]bool, len(gaps))
	for _, gap := range gaps {
		missing[gap] = true
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, piece := range batch.pieces {
		piece.arrived(missing[piece.item.item.ID])
	}
}

// arrived records that the mirror peer has a piece, or lacks output before it. The caller must hold the worker's mutex.
func (p *pendingPiece) arrived(lacksBefore bool) {
	if p.transfers != p.item.transfers {
		return
	}
	p.item.mirrored, p.item.mirroredRun = p.length, p.lastEventRun
	if lacksBefore {
		p.item.mirrored = 0
	}
}

// fetchMirrored collects the output of a job that is taken over from the other workers and from this worker's own mirror.
// It returns the longest output of each item.
func (w *Worker) fetchMirrored(id ident.Job) map[ident.Request]progress.Output {
	if w.Mirrors == nil {
		return nil
	}
	w.mutex.Lock()
	var addresses []string
	for node, worker := range w.workers {
		if node != w.Node {
			addresses = append(addresses, worker.Address)
		}
	}
	w.mutex.Unlock()
	ctx, cancel := context.WithTimeout(w.ctx, mirrorFetchTimeout)
	defer cancel()
	answers := make(chan []progress.Output, len(addresses))
	for _, address := range addresses {
		w.tomb.Go(func() error {
			outputs, err := w.Mirrors.Fetch(ctx, address, id)
			if err != nil {
				event.MirrorFailed.Log(w.Logger).Str("worker", address).Str("job", string(id)).Err(err).Send()
			}
			answers <- outputs
			return nil
		})
	}
	longest := map[ident.Request]progress.Output{}
	mergeLongest(longest, w.Mirrored(id))
	for range addresses {
		mergeLongest(longest, <-answers)
	}
	return longest
}

func mergeLongest(longest map[ident.Request]progress.Output, outputs []progress.Output) {
	for _, output := range outputs {
		if output.LastEvent > longest[output.Item].LastEvent {
			longest[output.Item] = output
		}
	}
}

// resume makes the job's items continue after the mirrored output. It returns how many do. Output without an origin, which earlier builds
// mirrored, cannot be continued.
func (j *jobRun) resume(mirrored map[ident.Request]progress.Output) int {
	resumed := 0
	for _, item := range j.items {
		output := mirrored[item.item.ID]
		if item.finished || output.LastEvent <= item.lastEvent || output.Origin == (work.Origin{}) {
			continue
		}
		item.text.Reset()
		item.text.Write(output.Text)
		item.lastEvent, item.lastEventRun, item.origin = output.LastEvent, output.Run, output.Origin
		resumed++
	}
	return resumed
}
