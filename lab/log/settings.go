package main

import "time"

// settings is the file of the log stand-in.
type settings struct {
	Log logSettings `ini:"log"`
}

type logSettings struct {
	Listen string `ini:"listen" validate:"required,hostname_port"`
	// Rate is the number of appends a second; zero is unlimited.
	Rate int `ini:"rate" validate:"min=0"`
	// Keep is how long records are kept; zero is for ever.
	Keep time.Duration `ini:"keep" validate:"min=0"`
	// Delay is the time that each call takes.
	Delay time.Duration `ini:"delay" validate:"min=0"`
	Level string        `ini:"level" validate:"omitempty,oneof=debug info warn error"`
}
