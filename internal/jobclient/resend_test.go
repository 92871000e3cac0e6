package jobclient_test

import (
	"fmt"
	"strings"
	"time"

	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/job"
	"mallowlatch.example/mallowlatch/internal/jobstore"
)

// submission is what was sent under a key, again and again.
type submission struct {
	key     string
	file    ident.File
	content string
	lines   []sentLine
	// answered says that a job was told.
	answered bool
}

func (s *simulation) submit(t *rapid.T) {
	var content strings.Builder
	made := &submission{key: fmt.Sprintf("key-%d", len(s.submissions))}
	customIDs := map[string]bool{}
	for range rapid.IntRange(1, 5).Draw(t, "lines") {
		one := sentLine{customID: fmt.Sprintf("c%d", rapid.IntRange(0, 9).Draw(t, "custom id")), repeatable: s.kind == 0 || s.kind == 2 && rapid.Bool().Draw(t, "repeatable")}
		one.malformed = customIDs[one.customID]
		customIDs[one.customID] = true
		content.WriteString(line(one.customID, fmt.Sprintf(`,"repeatable":%v`, one.repeatable)))
		made.lines = append(made.lines, one)
	}
	made.content = content.String()
	file, err := s.upload(made.content)
	if err != nil {
		return
	}
	made.file = file
	s.submissions = append(s.submissions, made)
	s.unanswered++
	s.send(made, file, rapid.SampledFrom([]time.Duration{time.Minute, time.Hour}).Draw(t, "window"))
}

func (s *simulation) upload(content string) (ident.File, error) {
	file, err := s.caller.CreateFile(s.ctx, job.FileSpec{Tenant: tenant, Purpose: jobstore.PurposeBatch}, strings.NewReader(content))
	return file.ID, err
}

func (s *simulation) submitFile(key string, file ident.File, window time.Duration) (job.Job, error) {
	accepted, _, err := s.caller.Submit(s.ctx, job.Spec{Tenant: tenant, IdempotencyKey: key, InputFile: file, Endpoint: inference.ChatCompletions, Window: window})
	return accepted, err
}

// send sends a submission by a file of its content. It must not be taken for another one.
func (s *simulation) send(sent *submission, file ident.File, window time.Duration) {
	accepted, err := s.submitFile(sent.key, file, window)
	if err != nil {
		if failure.As(err).Code == failure.CodeIdempotencyMismatch {
			s.t.Fatalf("submission %q was refused: %v", sent.key, err)
		}
		return
	}
	if !sent.answered {
		sent.answered = true
		s.unanswered--
	}
	s.accepted(sent.key, sent.file, sent.lines, accepted)
}

// resubmit sends a submission again, answered or not, by its file or by another of the same content.
func (s *simulation) resubmit(t *rapid.T) {
	sent := s.drawSubmission(t)
	if sent == nil {
		return
	}
	file := sent.file
	if rapid.Bool().Draw(t, "copy") {
		uploaded, err := s.upload(sent.content)
		if err != nil {
			return
		}
		file = uploaded
	}
	s.send(sent, file, time.Hour)
}

// submitOther sends another content under the key of an accepted job, which must be refused.
func (s *simulation) submitOther(t *rapid.T) {
	sent := s.drawSubmission(t)
	if sent == nil || !sent.answered {
		return
	}
	file, err := s.upload(sent.content + line("other", ""))
	if err != nil {
		return
	}
	if accepted, err := s.submitFile(sent.key, file, time.Hour); err == nil {
		s.t.Fatalf("another content under %q was answered with job %s", sent.key, accepted.ID)
	}
}

func (s *simulation) drawSubmission(t *rapid.T) *submission {
	if len(s.submissions) == 0 {
		return nil
	}
	return rapid.SampledFrom(s.submissions).Draw(t, "submission")
}

// answerAll sends what was never answered until it is.
func (s *simulation) answerAll() {
	const rounds = 6
	for range rounds {
		s.tick(nil)
		for _, sent := range s.submissions {
			if !sent.answered {
				s.send(sent, sent.file, time.Hour)
			}
		}
	}
	if s.unanswered > 0 {
		s.t.Fatalf("%d submissions are not answered", s.unanswered)
	}
}
