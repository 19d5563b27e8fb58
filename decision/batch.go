package decision

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// MaxBatchRecords is the maximum number of records in a batch. It keeps
	// an encoded batch below a few hundred kilobytes.
	MaxBatchRecords = 1024
	// maxBatchBytes bounds a decompressed batch, so that a damaged or
	// malicious object can't exhaust the reader's memory.
	maxBatchBytes = 8 << 20
	batchFormat   = 1
	namePrefix    = "decisions/"
	dayLayout     = "2006-01-02"
	hourLayout    = "15"
)

// Batch is an encoded batch of records, stored as one object.
type Batch struct {
	// Name is "decisions/<day>/<hour>/<instance>-<number>", in UTC.
	Name string
	// Data is gzip-compressed JSON.
	Data []byte
	// Records is the number of records in Data.
	Records int
}

// BatchContents is a decoded batch.
type BatchContents struct {
	Format   int    `json:"format"`
	Instance string `json:"instance"`
	// Dropped is the number of records that the instance dropped since its
	// previous batch.
	Dropped uint64   `json:"dropped,omitempty"`
	Records []Record `json:"records"`
}

// HourPrefix returns the common name prefix of all batches of an hour.
func HourPrefix(at time.Time) string {
	at = at.UTC()
	return namePrefix + at.Format(dayLayout) + "/" + at.Format(hourLayout) + "/"
}

// Prefixes returns the name prefixes of the batches that may hold the record of
// the request.
func (id RequestID) Prefixes() []string {
	return []string{HourPrefix(id.At) + id.InstancePrefix}
}

func hourOf(at time.Time) time.Time { return at.UTC().Truncate(time.Hour) }

// UnencodedBatch is a batch of a Buffer before encoding.
type UnencodedBatch struct {
	Name     string
	contents BatchContents
}

// Encode encodes and compresses the batch. It can be called from any goroutine.
func (c UnencodedBatch) Encode() (Batch, error) {
	var buf bytes.Buffer
	zip := gzip.NewWriter(&buf)
	if err := json.NewEncoder(zip).Encode(c.contents); err != nil {
		return Batch{}, errors.Wrap(err, "encode batch")
	}
	if err := zip.Close(); err != nil {
		return Batch{}, errors.Wrap(err, "compress batch")
	}
	return Batch{Name: c.Name, Data: buf.Bytes(), Records: len(c.contents.Records)}, nil
}

func batchName(instance string, number uint64, at time.Time) string {
	return fmt.Sprintf("%s%s-%06d", HourPrefix(at), sanitizeInstance(instance), number)
}

// DecodeBatch decodes a batch from the object store. It returns an error if the
// batch is damaged, exceeds a size limit or has an unknown format.
func DecodeBatch(data []byte) (BatchContents, error) {
	zip, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return BatchContents{}, errors.Wrap(err, "read gzip header of batch")
	}
	plain, err := io.ReadAll(io.LimitReader(zip, maxBatchBytes+1))
	if err != nil {
		return BatchContents{}, errors.Wrap(err, "decompress batch")
	}
	if len(plain) > maxBatchBytes {
		return BatchContents{}, errors.Newf("batch exceeds %d bytes when decompressed", maxBatchBytes)
	}
	var c BatchContents
	if err := json.Unmarshal(plain, &c); err != nil {
		return BatchContents{}, errors.Wrap(err, "decode batch")
	}
	if c.Format != batchFormat {
		return BatchContents{}, errors.Newf("batch has format %d, want %d", c.Format, batchFormat)
	}
	if len(c.Records) > MaxBatchRecords {
		return BatchContents{}, errors.Newf("batch has %d records, at most %d are allowed", len(c.Records), MaxBatchRecords)
	}
	return c, nil
}
