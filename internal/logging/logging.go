// Package logging configures the log, which has one line of key=value pairs for each event, and
// provides a writer that never blocks its callers.
package logging

import (
	"io"

	"github.com/sirupsen/logrus"
)

// TimeFormat is the format of the time in a log line. It has milliseconds, so that the lines of several
// processes can be sorted.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes to w. It drops events below the given level: debug, info, warn or
// error.
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
