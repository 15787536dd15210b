// Package record defines the records in the streams of the log service and
// encodes them as CBOR with integer keys.
package record

import (
	"github.com/fxamacker/cbor/v2"

	"camphorpulley.org/base/wrap"

	"camphorpulley.org/core"
	"camphorpulley.org/core/config"
	"camphorpulley.org/core/order"
)

// Config is a record of the configuration stream: a proposal or a snapshot.
type Config struct {
	Proposal *config.Proposal `cbor:"1,keyasint,omitempty"`
	Snapshot *config.Snapshot `cbor:"2,keyasint,omitempty"`
}

// Orders is a record of the order stream: a batch of claims, voided claims and
// results.
type Orders struct {
	Claims       []order.Claim `cbor:"1,keyasint,omitempty"`
	VoidedClaims []order.Claim `cbor:"2,keyasint,omitempty"`
	Results      []OrderResult `cbor:"3,keyasint,omitempty"`
}

// OrderResult is the result of an order, with the claim under which it ran.
type OrderResult struct {
	Claim  order.Claim  `cbor:"1,keyasint"`
	Result order.Result `cbor:"2,keyasint"`
}

// Suspect is a record of the suspect stream: the request with the digest was
// running when an upstream's process crashed.
type Suspect struct {
	Digest core.Digest `cbor:"1,keyasint"`
	// Process identifies the upstream's process.
	Process string `cbor:"2,keyasint"`
	// Clear reports, instead of a crash, that the request has since completed.
	Clear bool `cbor:"3,keyasint,omitempty"`
}

// decoder bounds the size and depth of decoded data.
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

// Encode returns the CBOR encoding of a record or message.
func Encode[T any](value T) ([]byte, error) {
	data, err := cbor.Marshal(value)
	return data, wrap.Err(err, "encode record")
}

// Decode decodes a record or message. Data may come from outside, so it fails if
// arrays, maps or nesting exceed the bounds of the decoder.
func Decode[T any](data []byte) (T, error) {
	var value T
	err := decoder.Unmarshal(data, &value)
	return value, wrap.Err(err, "decode record")
}
