// Package logging sets up the log: one line of key=value pairs per event.
package logging

import (
	"io"

	"github.com/sirupsen/logrus"
)

// New returns a logger that writes to w the events of at least the given level
// (debug, info, warn or error).
func New(w io.Writer, level string) (*logrus.Logger, error) {
	l, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(l)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	return log, nil
}
