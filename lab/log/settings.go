package main

import "time"

// settings is the content of the settings file.
type settings struct {
	Log logSettings `ini:"log"`
}

type logSettings struct {
	Listen string `ini:"listen" validate:"required,hostname_port"`
	// AppendRate is the largest number of appends per second; zero means no
	// limit.
	AppendRate int `ini:"rate" validate:"min=0"`
	// Retention is how long records are kept; zero means without limit.
	Retention time.Duration `ini:"keep" validate:"min=0"`
	// CallDelay is added to each append and read.
	CallDelay time.Duration `ini:"delay" validate:"min=0"`
	LogLevel  string        `ini:"level" validate:"omitempty,oneof=debug info warn error"`
}
