package main

import (
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"lavenderpond/core/policy"
	"lavenderpond/io/ini"
	"lavenderpond/io/node"
)

// loadPolicy reads the policy file. Without a path it returns the zero policy.
func loadPolicy(path string) (policy.Policy, error) {
	if path == "" {
		return policy.Policy{}, nil
	}
	return ini.LoadPolicy(path)
}

// reloadPolicy reads the policy file again. A policy with problems is refused as a whole, and
// the one in force stays.
func reloadPolicy(n *node.Node, path string, log zerolog.Logger) {
	log.Info().Str("event", "reload").Str("path", path).Send()
	p, err := loadPolicy(path)
	if err != nil {
		logPolicyProblems(log, path, err)
		return
	}
	n.SetPolicy(p)
}

// logPolicyProblems logs each mistake of a policy file.
func logPolicyProblems(log zerolog.Logger, path string, err error) {
	var problems ini.Problems
	if !errors.As(err, &problems) {
		log.Error().Err(err).Str("event", "policy_refused").Str("path", path).Send()
		return
	}
	for _, p := range problems {
		log.Error().Str("event", "policy_refused").Str("path", path).Int("line", p.Line).Str("problem", p.String()).Send()
	}
}
