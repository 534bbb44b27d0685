package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/carobwharf/carobwharf/peer/jsoncall"
	"github.com/carobwharf/carobwharf/peer/platform/wire"
	"github.com/carobwharf/carobwharf/store"
)

// Get returns the row, or store.ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (store.Row, error) {
	var row wire.Row
	err := c.do(ctx, &jsoncall.Call{
		Method: fasthttp.MethodGet, Path: wire.PathRow,
		Args: [3][2]string{{"key", key}},
		Decode: func(body []byte) error {
			if err := json.Unmarshal(body, &row); err != nil {
				return err
			}
			if row.Key != key {
				return fmt.Errorf("asked for row %q, got %q", key, row.Key)
			}
			return nil
		},
	})
	if err != nil {
		return store.Row{}, err
	}
	return store.Row(row), nil
}

// Scan returns at most limit rows with the prefix, starting after the given key.
// The platform returns no more than wire.MaxScan rows per call.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	if limit <= 0 {
		return nil, nil
	}
	var response wire.Rows
	err := c.do(ctx, &jsoncall.Call{
		Method: fasthttp.MethodGet, Path: wire.PathScan,
		Args:   [3][2]string{{"prefix", prefix}, {"after", after}, {"limit", strconv.Itoa(limit)}},
		Decode: func(body []byte) error { return json.Unmarshal(body, &response) },
	})
	if err != nil {
		return nil, err
	}
	rows := make([]store.Row, len(response.Rows))
	for i, r := range response.Rows {
		rows[i] = store.Row(r)
	}
	return rows, nil
}

// Commit applies all operations or none.
func (c *Client) Commit(ctx context.Context, ops []store.Op) ([]uint64, error) {
	body, err := wire.EncodeOps(ops)
	if err != nil {
		return nil, fmt.Errorf("%s: %w: %w", wire.PathCommit, store.ErrUnavailable, err)
	}
	var committed wire.Committed
	err = c.do(ctx, &jsoncall.Call{
		Method: fasthttp.MethodPost, Path: wire.PathCommit, JSON: body, Writes: true,
		Decode: func(body []byte) error {
			if err := json.Unmarshal(body, &committed); err != nil {
				return err
			}
			if len(committed.Versions) != len(ops) {
				return fmt.Errorf("%d versions for %d operations", len(committed.Versions), len(ops))
			}
			return nil
		},
	})
	if err != nil {
		return nil, err
	}
	return committed.Versions, nil
}

// PutObject stores an immutable object.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	return c.do(ctx, &jsoncall.Call{
		Method: fasthttp.MethodPut, Path: wire.PathObject, Raw: data, Writes: true,
		Args: [3][2]string{{"name", name}},
	})
}

// GetObject returns an object, or store.ErrNotFound.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	var data []byte
	err := c.do(ctx, &jsoncall.Call{
		Method: fasthttp.MethodGet, Path: wire.PathObject,
		Args: [3][2]string{{"name", name}},
		Decode: func(body []byte) error {
			data = bytes.Clone(body)
			return nil
		},
	})
	return data, err
}
