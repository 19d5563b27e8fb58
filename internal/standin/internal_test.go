package standin

import (
	"bytes"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/config"
)

func TestResponseFaultsFollowRatios(t *testing.T) {
	f := BackendFaults{
		TruncatedRatio: 0.1, ErrorRatio: 0.1, HangRatio: 0.1, MismatchedRatio: 0.1,
		MissingAttemptRatio: 0.1, LateRatio: 0.1, DuplicateRatio: 0.1, StalledRatio: 0.1, ErrorWorkspace: "w",
	}
	counts := map[responseFault]int{}
	for i := range 1000 {
		counts[f.responseFault("w", (float64(i)+0.5)/1000)]++
	}
	must.Eq(t, map[responseFault]int{
		truncatedResponse: 100, errorResponse: 100, hangingRequest: 100, mismatchedResponse: 100,
		missingAttempt: 100, lateResponse: 100, duplicatedResponse: 100, stalledResponse: 100, noFault: 200,
	}, counts)
	must.Eq(t, noFault, f.responseFault("other", 0.15))
}

func TestFlappingFaults(t *testing.T) {
	f := BackendFaults{
		TruncatedRatio: 1, LatencyFactor: 2, FlapPeriod: config.Duration(time.Second),
		RefuseConnections: true, HealthOverride: healthOK,
	}
	inactive := BackendFaults{RefuseConnections: true, HealthOverride: healthOK}
	for at, want := range map[time.Duration]BackendFaults{
		0: inactive, 999 * time.Millisecond: inactive, time.Second: f, 2 * time.Second: inactive, 3 * time.Second: f,
	} {
		must.Eq(t, want, f.activeAt(at), must.Sprint(at))
	}
}

func TestRateLimit(t *testing.T) {
	var l rateLimit
	allowed := func(now time.Duration, perSecond int) int {
		n := 0
		for n < 100 && l.allow(now, perSecond) {
			n++
		}
		return n
	}
	must.Eq(t, 10, allowed(5*time.Second, 10))
	must.Eq(t, 0, allowed(5*time.Second, 10))
	must.Eq(t, 5, allowed(5500*time.Millisecond, 10))
	must.Eq(t, 10, allowed(time.Hour, 10))
	must.Eq(t, 100, allowed(time.Hour, 0))
	must.Eq(t, 3, allowed(time.Hour, 3))
}

// FuzzConnCapture feeds a connection's bytes in chunks. A secret must be detected
// wherever it is split, and a complete header block must be captured.
func FuzzConnCapture(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nK: fsk_1\r\n\r\nbody"), uint8(3))
	f.Add([]byte("POST / HTTP/1.1\r\n\r\nfsk_"), uint8(1))
	f.Add([]byte("abcdfsk_1"), uint8(3))
	f.Add([]byte("GET / HTTP/1.1\r\n\r"), uint8(200))
	f.Fuzz(func(t *testing.T, data []byte, size uint8) {
		const secret = "fsk_1"
		capture := newRawCapture()
		capture.watchSecrets([]string{secret})
		conn := &connCapture{capture: capture}
		step := int(size) + 1
		for i := 0; i < len(data); i += step {
			conn.addReceived(data[i:min(i+step, len(data))])
		}
		must.Eq(t, bytes.Contains(data, []byte(secret)), len(capture.detectedSecrets()) == 1)
		conn.addRequest("GET / HTTP/")
		begin := bytes.LastIndex(data, []byte("GET / HTTP/"))
		complete := begin >= 0 && len(data) <= maxPendingBytes && bytes.Contains(data[begin:], []byte("\r\n\r\n"))
		if complete {
			must.SliceLen(t, 1, capture.report().Headers)
			return
		}
		must.Eq(t, len(data) <= maxPendingBytes, capture.report().Incomplete == 1)
	})
}

// FuzzParseTimeout checks that accepted timeouts are within bounds and that only
// values consisting of digits are accepted.
func FuzzParseTimeout(f *testing.F) {
	for _, value := range []string{"0", "1500", "3600000", "3600001", "-1", "+1", "1e3", "١", "", "00000000000000000001"} {
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value string) {
		d, err := parseTimeout(value)
		if err != nil {
			return
		}
		must.Between(t, 0, d, maxRequestTimeout)
		must.Eq(t, "", string(bytes.Trim([]byte(value), "0123456789")))
	})
}
