// Package logs makes the logger of a process: logr on top of zap, one JSON object a line.
//
// Lines about a request carry RequestID, Team, Endpoint and Step where they are known; the key constants keep the names the
// same everywhere.
package logs

import (
	"io"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Keys of log lines.
const (
	RequestID = "RequestID"
	Team      = "Team"
	Endpoint  = "Endpoint"
	Step      = "Step"
	Peer      = "Peer"
	Outcome   = "Outcome"
	Code      = "Code"
	Offset    = "Offset"
)

// levels maps the names of the settings to zap levels. logr's V(1) is zap's debug.
var levels = map[string]zapcore.Level{
	"debug": zapcore.DebugLevel,
	"info":  zapcore.InfoLevel,
	"error": zapcore.ErrorLevel,
}

// New returns a logger that writes lines of at least the named level ("debug", "info" or "error") to w.
func New(w io.Writer, level string) (logr.Logger, error) {
	l, ok := levels[level]
	if !ok {
		return logr.Logger{}, errors.Errorf("unknown log level %q", level)
	}
	cfg := zapcore.EncoderConfig{
		TimeKey:        "Time",
		LevelKey:       "Level",
		NameKey:        "Logger",
		MessageKey:     "Message",
		EncodeTime:     zapcore.RFC3339NanoTimeEncoder,
		EncodeLevel:    zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.SecondsDurationEncoder,
	}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg), zapcore.Lock(zapcore.AddSync(w)), l)
	return zapr.NewLoggerWithOptions(zap.New(core), zapr.ErrorKey("Error")), nil
}
