package main

import (
	"lavenderpond/io/ini"
)

type configCmd struct {
	Check  configCheckCmd  `cmd:"" help:"Check a settings file of the daemon."`
	Sample configSampleCmd `cmd:"" help:"Print a commented settings file."`
}

type configCheckCmd struct {
	File string `arg:"" help:"Settings file."`
}

// Run checks a settings file and reports every mistake in it.
func (c configCheckCmd) Run(a *app) error {
	if _, err := ini.Load(c.File); err != nil {
		return failf(exitRefused, "%v", err)
	}
	a.printf("%s: no mistakes\n", c.File)
	return nil
}

type configSampleCmd struct{}

// Run prints the sample settings file.
func (configSampleCmd) Run(a *app) error {
	a.printf("%s", ini.Sample())
	return nil
}
