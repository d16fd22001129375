package follow

import (
	"sync"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/peer"
)

const (
	// minPackedBytes is the size from which a value is sent to other nodes compressed: it occupies a link of 10 Mbit/s
	// for 7 ms. A routing table of 5,000 routes shrinks to a tenth, and the node that reads the store takes some 10 ms
	// to compress it, once.
	minPackedBytes = 8 << 10
	// maxPackedRows bounds the rows whose compressed values are kept, some 0.1 MB each. Few rows are large.
	maxPackedRows = 16
)

type (
	// packer compresses large values, each once for all nodes that request it. It is safe for concurrent use.
	packer struct {
		mu sync.Mutex
		// packed holds the newest requested version of each large row.
		packed map[rowKey]packedValue
	}

	rowKey struct {
		table, key string
	}

	packedValue struct {
		version uint64
		data    []byte
	}
)

func newPacker() *packer {
	return &packer{packed: map[rowKey]packedValue{}}
}

// pack moves the large values of the rows in a reply to reply.Packed and compresses them.
func (p *packer) pack(reply *peer.FeedReply) error {
	for table, delta := range reply.Tables {
		for i, row := range delta.Rows {
			if len(row.Value) < minPackedBytes {
				continue
			}
			data, err := p.packRow(table, row)
			if err != nil {
				return err
			}
			if reply.Packed == nil {
				reply.Packed = map[string]map[string][]byte{}
			}
			if reply.Packed[table] == nil {
				reply.Packed[table] = map[string][]byte{}
			}
			reply.Packed[table][row.Key] = data
			delta.Rows[i].Value = ""
		}
	}
	return nil
}

// packRow returns a row's compressed value. It holds the mutex while it compresses, because other nodes that wait
// meanwhile request the same row.
func (p *packer) packRow(table string, row kernel.Row) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := rowKey{table: table, key: row.Key}
	if cached, ok := p.packed[key]; ok && cached.version == row.Version {
		return cached.data, nil
	}
	data, err := peer.Compress([]byte(row.Value))
	if err != nil {
		return nil, err
	}
	p.keep(key, packedValue{version: row.Version, data: data})
	return data, nil
}

// keep keeps a compressed value. The mutex is held.
func (p *packer) keep(key rowKey, value packedValue) {
	if len(p.packed) >= maxPackedRows {
		clear(p.packed)
	}
	p.packed[key] = value
}

// unpack restores the compressed values of the rows of a table in a reply, and keeps them for the nodes that follow this one.
// It returns the size in bytes of the values as they were received.
func (p *packer) unpack(reply peer.FeedReply, table string) (int64, error) {
	size := int64(0)
	rows := reply.Tables[table].Rows
	for i, row := range rows {
		data, ok := reply.Packed[table][row.Key]
		if !ok {
			size += int64(len(row.Value))
			continue
		}
		size += int64(len(data))
		value, err := peer.Decompress(data)
		if err != nil {
			return size, err
		}
		rows[i].Value = string(value)
		p.mu.Lock()
		p.keep(rowKey{table: table, key: row.Key}, packedValue{version: row.Version, data: data})
		p.mu.Unlock()
	}
	return size, nil
}
