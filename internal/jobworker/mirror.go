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
)

const (
	// mirrorTimeout bounds one sending of output to its second place.
	mirrorTimeout = 400 * time.Millisecond
	// askTimeout bounds the asking for output when a job is taken over: a run that begins anew is the price of a node that
	// does not answer.
	askTimeout = 200 * time.Millisecond
	// youngJob is the age below which a job has no output worth asking for.
	youngJob = 1500 * time.Millisecond
)

// Mirrors carries the output so far of items to other workers, and back from them.
type Mirrors interface {
	// Send passes updates on to the worker at an address. It returns the items that are to be sent from the beginning.
	Send(ctx context.Context, address string, updates []progress.Update) (gaps []ident.Request, err error)
	// Ask returns what the worker at an address keeps of a job.
	Ask(ctx context.Context, address string, job ident.Job) ([]progress.Output, error)
}

// Mirror takes over output that another worker keeps here. It returns the items that are to be sent from the beginning.
func (w *Worker) Mirror(updates []progress.Update) []ident.Request {
	if w.Outputs != nil {
		gaps, err := w.Outputs.Keep(updates, w.Now())
		if err != nil {
			event.MirrorFailed.Log(w.Logger).Int("updates", len(updates)).Err(err).Send()
		}
		return gaps
	}
	var gaps []ident.Request
	for index := range updates {
		gaps = append(gaps, w.mirror.Take(&updates[index], w.Now())...)
	}
	return gaps
}

// Mirrored returns the output of a job that is kept here for another worker.
func (w *Worker) Mirrored(job ident.Job) []progress.Output {
	if w.Outputs != nil {
		return w.Outputs.Mirror.Outputs(job)
	}
	return w.mirror.Outputs(job)
}

// mirrorLoop sends what the items in progress have put out to a second worker.
func (w *Worker) mirrorLoop() error {
	if w.Mirrors == nil {
		return nil
	}
	for w.pause(w.Options.MirrorEvery) {
		var sending sync.WaitGroup
		for address, sent := range w.unmirrored() {
			sending.Add(1)
			w.tomb.Go(func() error {
				defer sending.Done()
				w.sendMirror(address, sent)
				return nil
			})
		}
		sending.Wait()
	}
	return nil
}

// outgrowth is output of an item on its way to its second place.
type outgrowth struct {
	item *itemRun
	// length is how much of the output is there once the piece has arrived, and run what made its end.
	length int
	run    progress.RunID
}

// shipment is what one worker is sent at once.
type shipment struct {
	updates []progress.Update
	grown   []outgrowth
}

// unmirrored returns what the second places lack, by their addresses.
func (w *Worker) unmirrored() map[string]*shipment {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	shipments := map[string]*shipment{}
	for id, job := range w.jobs {
		second, found := w.secondPlace(id)
		if !found {
			continue
		}
		if job.second != second.Node {
			job.second = second.Node
			job.mirrorAnew()
		}
		update, grown := job.outgrown()
		if len(grown) == 0 {
			continue
		}
		sent := shipments[second.Address]
		if sent == nil {
			sent = &shipment{}
			shipments[second.Address] = sent
		}
		sent.updates = append(sent.updates, update)
		sent.grown = append(sent.grown, grown...)
	}
	return shipments
}

// secondPlace returns the worker that keeps the output of a job beside this one: one of the same zone where there is
// another, because bytes between zones have their price. The caller holds the mutex.
func (w *Worker) secondPlace(job ident.Job) (jobrecord.Worker, bool) {
	near, far := make([]ident.Node, 0, len(w.workers)), make([]ident.Node, 0, len(w.workers))
	for node, worker := range w.workers {
		switch {
		case node == w.Node:
		case worker.Zone == w.Zone:
			near = append(near, node)
		default:
			far = append(far, node)
		}
	}
	if len(near) == 0 {
		near = far
	}
	first, found := rendezvous.First(string(job), slices.Values(near))
	return w.workers[first], found
}

// outgrown returns the output of the job's items that the second place lacks. The worker's mutex is held.
func (j *jobRun) outgrown() (progress.Update, []outgrowth) {
	update := progress.Update{Job: j.header.ID}
	var grown []outgrowth
	for _, item := range j.items {
		if item.finished || item.text.Len() <= item.mirrored {
			continue
		}
		text := append([]byte(nil), item.text.Bytes()[item.mirrored:]...)
		update.Pieces = append(update.Pieces, progress.Piece{
			Item: item.item.ID, Run: item.run, Before: item.mirroredRun, Offset: item.mirrored, LastEvent: item.lastEvent, Text: text,
		})
		grown = append(grown, outgrowth{item: item, length: item.text.Len(), run: item.run})
	}
	return update, grown
}

// mirrorAnew has all output sent from the beginning. The worker's mutex is held.
func (j *jobRun) mirrorAnew() {
	for _, item := range j.items {
		item.mirrored = 0
	}
}

// sendMirror makes one call and notes what arrived.
func (w *Worker) sendMirror(address string, sent *shipment) {
	ctx, cancel := context.WithTimeout(w.ctx, mirrorTimeout)
	defer cancel()
	gaps, err := w.Mirrors.Send(ctx, address, sent.updates)
	if err != nil {
		event.MirrorFailed.Log(w.Logger).Str("worker", address).Int("items", len(sent.grown)).Err(err).Send()
		return
	}
	missing := make(map[ident.Request]bool, len(gaps))
	for _, gap := range gaps {
		missing[gap] = true
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, one := range sent.grown {
		one.item.mirrored, one.item.mirroredRun = one.length, one.run
		if missing[one.item.item.ID] {
			one.item.mirrored = 0
		}
	}
}

// recall asks the other workers, and this one's own memory, for the output of a job that is taken over. It returns the
// furthest of each item.
func (w *Worker) recall(id ident.Job) map[ident.Request]progress.Output {
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
	ctx, cancel := context.WithTimeout(w.ctx, askTimeout)
	defer cancel()
	answers := make(chan []progress.Output, len(addresses))
	for _, address := range addresses {
		w.tomb.Go(func() error {
			outputs, err := w.Mirrors.Ask(ctx, address, id)
			if err != nil {
				event.MirrorFailed.Log(w.Logger).Str("worker", address).Str("job", string(id)).Err(err).Send()
			}
			answers <- outputs
			return nil
		})
	}
	furthest := map[ident.Request]progress.Output{}
	keepFurthest(furthest, w.Mirrored(id))
	for range addresses {
		keepFurthest(furthest, <-answers)
	}
	return furthest
}

func keepFurthest(furthest map[ident.Request]progress.Output, outputs []progress.Output) {
	for _, output := range outputs {
		if output.LastEvent > furthest[output.Item].LastEvent {
			furthest[output.Item] = output
		}
	}
}

// resume has the job's items go on behind the output that was kept. It returns how many do.
func (j *jobRun) resume(kept map[ident.Request]progress.Output) int {
	resumed := 0
	for _, item := range j.items {
		output := kept[item.item.ID]
		if item.finished || output.LastEvent <= item.lastEvent {
			continue
		}
		item.text.Reset()
		item.text.Write(output.Text)
		item.lastEvent, item.run = output.LastEvent, output.Run
		resumed++
	}
	return resumed
}
