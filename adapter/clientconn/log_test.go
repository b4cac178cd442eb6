package clientconn

import (
	"io"
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

// lineCounter counts the lines of a log.
type lineCounter struct {
	lines atomic.Int64
}

func (l *lineCounter) logger() logrus.FieldLogger {
	log := logrus.New()
	log.Out = io.Discard
	log.AddHook(l)
	return log
}

// Levels implements logrus.Hook.
func (*lineCounter) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (l *lineCounter) Fire(*logrus.Entry) error {
	l.lines.Add(1)
	return nil
}
