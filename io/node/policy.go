package node

import (
	"time"

	"github.com/rs/zerolog"

	"lavenderpond/core/policy"
)

// noPolicy is the policy of a Node before SetPolicy.
var noPolicy policy.Policy

// currentPolicy returns the operators' policy in force. It must not be modified.
func (n *Node) currentPolicy() *policy.Policy {
	if p := n.policy.Load(); p != nil {
		return p
	}
	return &noPolicy
}

// SetPolicy puts a policy in force: for callers immediately, and for the scheduler of an owner
// from its next round on. It logs the policy, and what has changed. SetPolicy is safe for
// concurrent use.
func (n *Node) SetPolicy(p policy.Policy) {
	before := n.policy.Swap(&p)
	logPolicy(n.log, time.Now(), &p)
	n.metrics.setPolicy(&p)
	if before == nil {
		return
	}
	for _, c := range p.ChangesFrom(before) {
		n.log.Info().Str("event", "policy_changed").Str("subject", c.Subject).Str("change", c.Kind.String()).Send()
	}
}

// logPolicy logs which decisions are in force and which exceptions apply. It warns of each
// exception that has ended, so that operators remove it.
func logPolicy(log zerolog.Logger, wall time.Time, p *policy.Policy) {
	log.Info().Str("event", "policy_in_force").Strs("enabled", p.EnabledNames()).Int("exceptions", len(p.Exceptions)).Send()
	for i := range p.Exceptions {
		x := &p.Exceptions[i]
		level, event := zerolog.InfoLevel, "policy_exception"
		if !x.InForce(wall) {
			level, event = zerolog.WarnLevel, "policy_exception_ended"
		}
		e := log.WithLevel(level).Str("event", event).Str("name", x.Name).Str("decision", x.Decision.String()).
			Str("account", string(x.Account)).Str("queue", string(x.Queue)).Str("reason", x.Reason).Bool("in_force", x.InForce(wall))
		if !x.End.IsZero() {
			e.Str("end", x.End.Format(time.RFC3339))
		}
		e.Send()
	}
}

// followPolicy passes a policy that has changed since the last round to the scheduler.
func (o *owner) followPolicy() {
	if p := o.node.currentPolicy(); p != o.policy {
		o.policy = p
		o.scheduler.SetPolicy(*p)
	}
}
