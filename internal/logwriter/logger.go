package logwriter

import (
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"sedgestream/internal/recovery"
)

// Sampling of records with the same message, unless the level is debug: the first sampledFirst of an interval are
// logged, and then one in sampledEvery.
const (
	samplingInterval = time.Second
	sampledFirst     = 100
	sampledEvery     = 100
)

// NewLogger returns a logger that writes records of at least a level through a Writer: as JSON lines, or
// in a readable form if out is a terminal.
func NewLogger(out *os.File, level string) (*zap.Logger, error) {
	var minLevel zapcore.Level
	if err := minLevel.UnmarshalText([]byte(level)); err != nil {
		return nil, err
	}
	var log *zap.Logger
	writer := New(out, func(records int) { log.Warn("log records dropped", zap.Int("count", records)) })
	core := zapcore.NewCore(encoder(out), writer, minLevel)
	if minLevel > zapcore.DebugLevel { // at debug every request must be in the log
		core = zapcore.NewSamplerWithOptions(core, samplingInterval, sampledFirst, sampledEvery)
	}
	log = zap.New(core, zap.AddCaller())
	recovery.Go(log, "log", writer.Run, nil)
	return log, nil
}

func encoder(out *os.File) zapcore.Encoder {
	config := zap.NewProductionEncoderConfig()
	if stat, err := out.Stat(); err != nil || stat.Mode()&os.ModeCharDevice == 0 {
		return zapcore.NewJSONEncoder(config)
	}
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	config.EncodeLevel = zapcore.CapitalLevelEncoder
	return zapcore.NewConsoleEncoder(config)
}
