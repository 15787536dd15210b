// Package record encodes what the system keeps in the platform's log: CBOR
// with short keys.
package record

import (
	"github.com/fxamacker/cbor/v2"

	"camphorpulley.org/base/wrap"

	"camphorpulley.org/core"
	"camphorpulley.org/core/config"
	"camphorpulley.org/core/order"
)

// Config is a record of the configuration's stream: a proposal or a snapshot.
type Config struct {
	Proposal *config.Proposal `cbor:"1,keyasint,omitempty"`
	Snapshot *config.Snapshot `cbor:"2,keyasint,omitempty"`
}

// Orders is a record of the orders' stream. One append carries many claims,
// voided claims and results.
type Orders struct {
	Claims  []order.Claim `cbor:"1,keyasint,omitempty"`
	Voids   []order.Claim `cbor:"2,keyasint,omitempty"`
	Results []Finished    `cbor:"3,keyasint,omitempty"`
}

// Finished is the result of an order.
type Finished struct {
	Claim  order.Claim  `cbor:"1,keyasint"`
	Result order.Result `cbor:"2,keyasint"`
}

// Suspect says that a request was running when a process crashed.
type Suspect struct {
	Digest  core.Digest `cbor:"1,keyasint"`
	Process string      `cbor:"2,keyasint"`
	// Clear says instead that the request has since run to its end.
	Clear bool `cbor:"3,keyasint,omitempty"`
}

var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: 1 << 16,
		MaxMapPairs:      1 << 12,
		MaxNestedLevels:  16,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Encode returns the bytes of a record or message.
func Encode[T any](value T) ([]byte, error) {
	data, err := cbor.Marshal(value)
	return data, wrap.Err(err, "encode record")
}

// Decode reads the bytes of a record or message. Data from outside is bounded
// in size and depth.
func Decode[T any](data []byte) (T, error) {
	var value T
	err := decoder.Unmarshal(data, &value)
	return value, wrap.Err(err, "decode record")
}
