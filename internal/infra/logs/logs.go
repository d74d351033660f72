// Package logs provides the logger of a process: logr on top of zap, with one JSON object per line.
//
// Lines about a request have the keys RequestID, Team, Endpoint and Step where these are known. All packages use the key
// constants, so that the names are consistent.
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
	// Fingerprint is the fingerprint of a request, in hexadecimal.
	Fingerprint = "Fingerprint"
)

// levels maps the level names in the settings to zap levels. logr's V(1) corresponds to zap's debug level.
var levels = map[string]zapcore.Level{
	"debug": zapcore.DebugLevel,
	"info":  zapcore.InfoLevel,
	"error": zapcore.ErrorLevel,
}

// New returns a logger that writes lines of the given severity ("debug", "info" or "error") and above to w.
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
	core := errorTextCore{zapcore.NewCore(zapcore.NewJSONEncoder(cfg), zapcore.Lock(zapcore.AddSync(w)), l)}
	return zapr.NewLoggerWithOptions(zap.New(core), zapr.ErrorKey("Error")), nil
}

// errorTextCore is a zap core that logs only the messages of errors. zap also logs the stack trace of an error that has one,
// which makes the line ten times as long and does not help operators.
type errorTextCore struct{ zapcore.Core }

// With implements zapcore.Core.
func (c errorTextCore) With(fields []zapcore.Field) zapcore.Core {
	return errorTextCore{c.Core.With(errorsAsText(fields))}
}

// Check implements zapcore.Core.
func (c errorTextCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(e.Level) {
		return checked
	}
	return checked.AddCore(e, c)
}

// Write implements zapcore.Core.
func (c errorTextCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return errors.Wrap(c.Core.Write(e, errorsAsText(fields)), "write log line")
}

// errorsAsText replaces the errors in fields by their messages, in place, and returns fields.
func errorsAsText(fields []zapcore.Field) []zapcore.Field {
	for i, f := range fields {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			fields[i] = zap.String(f.Key, err.Error())
		}
	}
	return fields
}
