package daemon

import (
	"io"

	"github.com/sirupsen/logrus"

	"github.com/bulrushrelay/bulrushrelay/adapter/decisionlog"
)

// NewLogger returns the logger of the process, which writes to out. The settings must be valid.
func NewLogger(s Settings, out io.Writer) *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(out)
	if s.LogFormat == "json" {
		logger.SetFormatter(&decisionlog.Formatter{})
	} else {
		logger.SetFormatter(&logrus.TextFormatter{FullTimestamp: true})
	}
	level, err := logrus.ParseLevel(s.LogLevel)
	if err != nil {
		level = logrus.InfoLevel
	}
	logger.SetLevel(level)
	return logger.WithFields(logrus.Fields{"host": s.HostID, "data_centre": s.DataCentre})
}
