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
	core := oneLine{zapcore.NewCore(zapcore.NewJSONEncoder(cfg), zapcore.Lock(zapcore.AddSync(w)), l)}
	return zapr.NewLoggerWithOptions(zap.New(core), zapr.ErrorKey("Error")), nil
}

// oneLine is a core that writes errors as their message alone. zap would add the stack trace of each error that has one, which makes a
// line ten times as long and tells operators nothing.
type oneLine struct{ zapcore.Core }

// With implements zapcore.Core.
func (c oneLine) With(fields []zapcore.Field) zapcore.Core {
	return oneLine{c.Core.With(messages(fields))}
}

// Check implements zapcore.Core.
func (c oneLine) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(e.Level) {
		return checked
	}
	return checked.AddCore(e, c)
}

// Write implements zapcore.Core.
func (c oneLine) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return errors.Wrap(c.Core.Write(e, messages(fields)), "write log line")
}

// messages replaces errors by their messages.
func messages(fields []zapcore.Field) []zapcore.Field {
	for i, f := range fields {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			fields[i] = zap.String(f.Key, err.Error())
		}
	}
	return fields
}
