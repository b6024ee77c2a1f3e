package node

import (
	"time"

	"github.com/rs/zerolog"

	"lavenderpond/core/schedule"
	"lavenderpond/platform"
)

// decisionLog logs the scheduler's decisions and counts them in metrics. It writes a
// limited number of lines per second and kind. The next line that is written says how many
// were omitted before it.
type decisionLog struct {
	log            zerolog.Logger
	count          func(name string)
	recordDuration func(name string, d time.Duration)

	lineLimiter[schedule.DecisionKind]
}

// Decided implements schedule.Observer.
func (l *decisionLog) Decided(d schedule.Decision) {
	l.count(string(d.Kind))
	switch d.Kind {
	case schedule.TaskStarted:
		l.recordDuration("start_order", d.Age)
	case schedule.JobEnded:
		l.recordDuration("job_"+d.Reason, d.After)
	}
	omitted, ok := l.admit(d.Kind)
	if !ok {
		return
	}
	e := l.log.Info().Str("event", string(d.Kind))
	if d.Job != "" {
		e.Str("job", string(d.Job))
	}
	if d.Task.Job != "" {
		e.Str("task", platform.TaskName(d.Task)).Int64("attempt", int64(d.Attempt))
	}
	if d.VM != "" {
		e.Str("vm", string(d.VM))
	}
	if d.Wave != 0 {
		e.Int64("wave", d.Wave)
	}
	if d.Machine != "" {
		e.Str("machine", string(d.Machine))
	}
	if d.Reason != "" {
		e.Str("reason", d.Reason)
	}
	if d.Age != 0 {
		e.Int64("age_ms", d.Age.Milliseconds())
	}
	if d.After != 0 {
		e.Int64("after_ms", d.After.Milliseconds())
	}
	if d.Slack != 0 {
		e.Int64("slack_ms", d.Slack.Milliseconds())
	}
	if d.Wait != 0 {
		e.Int64("wait_ms", d.Wait.Milliseconds())
	}
	if x := d.Share; x != nil {
		e.Str("account", string(x.Account)).Str("pool", string(x.Pool)).Float64("share", x.Share).Float64("usage", x.Usage).
			Int64("waiting_cpu", x.Waiting.CPU).Int64("waiting_mem_mb", x.Waiting.MemMB).Int64("waiting_gpu", x.Waiting.GPU)
	}
	if omitted > 0 {
		e.Int("omitted", omitted)
	}
	e.Send()
}
