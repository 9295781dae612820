// Package logging sets up the log: one line of key=value pairs per event.
package logging

import (
	"io"

	"github.com/sirupsen/logrus"
)

// TimeFormat is the format of the lines' times: milliseconds, so that the lines of
// several processes can be put in order.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"

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
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: TimeFormat})
	return log, nil
}
