// Package log is a client of the append-only log to which operators publish. The
// log has its own protocol over HTTP.
//
// Offsets never decrease, also if the log is restored from an older copy: they include
// the era of the log (see package version/era).
//
// # Usage
//
//	lg := log.NewHTTPLog(netip.MustParseAddrPort("127.0.0.1:7400"))
//	offset, err := lg.Append(ctx, "config", data)
//	if errors.Is(err, log.ErrUnknown) {
//		// the append may have taken effect; look for the record by its id
//	}
//	page, err := lg.Read(ctx, "config", offset, time.Now().Add(time.Second))
package log

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/kingcuppitch/kingcuppitch/internal/field"
	"github.com/kingcuppitch/kingcuppitch/version/era"
	"github.com/rotisserie/eris"
)

// Errors of the log.
var (
	// ErrUnavailable means that the log did not accept the request.
	ErrUnavailable = errors.New("log is unavailable")
	// ErrUnknown means that an append may or may not have taken effect.
	ErrUnknown = errors.New("result of the append is unknown")
	// ErrExpired means that the log does not have the offset: because records were
	// deleted, because the log has been restored since the era of the offset, or because
	// the log ends before it.
	ErrExpired = errors.New("records have expired")
)

const (
	// maxPage bounds the body of a response in bytes.
	maxPage = 64 << 20
	// pageRecords is the number of records that one read requests.
	pageRecords = 512
	// waitMargin is the time after the end of a long poll in which the response must
	// arrive.
	waitMargin = 2 * time.Second
)

// Log is an append-only log with streams; numbers of records start at 1 in each era.
type Log interface {
	// Append adds one record and returns its offset.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns the records from an offset on. If there are none, it waits until
	// the given time for the first one. With ErrExpired, First of the page is set to the
	// oldest retained offset, which is in another era than the offset asked for if the
	// log has been restored.
	Read(ctx context.Context, stream string, from int64, until time.Time) (Page, error)
}

// Page is a sequence of records with consecutive offsets.
type Page struct {
	// First is the oldest retained offset, Next the offset of the next append.
	First   int64   `json:"first"`
	Next    int64   `json:"next"`
	Records []Entry `json:"records"`
}

// Entry is one record of a stream.
type Entry struct {
	Offset int64     `json:"offset"`
	At     time.Time `json:"at"`
	Data   []byte    `json:"data"`
}

// httpLog implements Log by the HTTP protocol of the log.
type httpLog struct {
	base   url.URL
	client *http.Client
}

// NewHTTPLog returns a Log that connects to addr over HTTP.
func NewHTTPLog(addr netip.AddrPort) Log {
	return &httpLog{
		base: url.URL{Scheme: "http", Host: addr.String()},
		client: &http.Client{
			Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second},
			// The log has one address, so an append must not be repeated at another.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Append implements Log.
func (l *httpLog) Append(ctx context.Context, stream string, data []byte) (offset int64, err error) {
	defer func() { err = eris.Wrapf(err, "append to stream %q", stream) }()
	u := l.base.JoinPath("streams", stream)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	res, err := l.do(req)
	if err != nil {
		return 0, errors.Join(ErrUnknown, err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxPage))
	switch {
	case res.StatusCode == http.StatusTooManyRequests, res.StatusCode == http.StatusServiceUnavailable:
		return 0, fmt.Errorf("status %d: %w", res.StatusCode, ErrUnavailable)
	case err != nil:
		return 0, errors.Join(ErrUnknown, err)
	case res.StatusCode != http.StatusCreated:
		return 0, fmt.Errorf("status %d: %w", res.StatusCode, ErrUnknown)
	}
	var result struct {
		Era    int64 `json:"era"`
		Offset int64 `json:"offset"`
	}
	if err = json.Unmarshal(body, &result); err != nil {
		return 0, errors.Join(ErrUnknown, err)
	}
	if result.Offset < 1 {
		return 0, fmt.Errorf("offset %d: %w", result.Offset, ErrUnknown)
	}
	if offset, err = era.Offset(result.Era, result.Offset); err != nil {
		return 0, errors.Join(ErrUnknown, err)
	}
	return offset, nil
}

// do sends a request. A response with a malformed name of a field is an error. If there
// is no response in time, do closes all idle connections: if the network path lost the
// state of one connection, it has often lost that of the others too.
func (l *httpLog) do(req *http.Request) (*http.Response, error) {
	res, err := l.client.Do(req)
	if err != nil && req.Context().Err() != nil {
		l.client.CloseIdleConnections()
	}
	if err != nil {
		return nil, err
	}
	if name, malformed := field.Malformed(res.Header); malformed {
		_ = res.Body.Close()
		return nil, fmt.Errorf("malformed name %q of a field", name)
	}
	return res, nil
}

// Read implements Log.
func (l *httpLog) Read(ctx context.Context, stream string, from int64, until time.Time) (page Page, err error) {
	defer func() { err = eris.Wrapf(err, "read stream %q", stream) }()
	ctx, cancel := context.WithDeadline(ctx, until.Add(waitMargin))
	defer cancel()
	u := l.base.JoinPath("streams", stream)
	query := url.Values{
		"from":      {strconv.FormatInt(era.Number(from), 10)},
		"max":       {strconv.Itoa(pageRecords)},
		"waitUntil": {strconv.FormatInt(until.UnixMilli(), 10)},
	}
	if e := era.Of(from); e > 0 {
		query.Set("era", strconv.FormatInt(e, 10))
	}
	u.RawQuery = query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return Page{}, err
	}
	res, err := l.do(req)
	if err != nil {
		return Page{}, errors.Join(ErrUnavailable, err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK && res.StatusCode != http.StatusGone {
		return Page{}, fmt.Errorf("status %d: %w", res.StatusCode, ErrUnavailable)
	}
	var stored struct {
		Page
		Era int64 `json:"era"`
	}
	if err = json.NewDecoder(io.LimitReader(res.Body, maxPage)).Decode(&stored); err != nil {
		return Page{}, errors.Join(ErrUnavailable, err)
	}
	if page, err = inEra(stored.Page, stored.Era); err != nil {
		return Page{}, errors.Join(ErrUnavailable, err)
	}
	switch read := era.Of(page.Next); {
	case read < era.Of(from):
		// The answer is older than one that named the era of the offset.
		return Page{}, fmt.Errorf("answer of era %d, which is over: %w", read, ErrUnavailable)
	case read > era.Of(from), res.StatusCode == http.StatusGone:
		page.Records = nil
		return page, ErrExpired
	}
	for i, e := range page.Records {
		if want := from + int64(i); e.Offset != want {
			return Page{}, fmt.Errorf("record has offset %d, want %d: %w", e.Offset, want, ErrUnavailable)
		}
	}
	return page, nil
}

// inEra returns a page whose offsets include an era.
func inEra(page Page, e int64) (Page, error) {
	offsets := []*int64{&page.First, &page.Next}
	for i := range page.Records {
		offsets = append(offsets, &page.Records[i].Offset)
	}
	for _, o := range offsets {
		offset, err := era.Offset(e, *o)
		if err != nil {
			return Page{}, err
		}
		*o = offset
	}
	return page, nil
}
