package engineapi

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the length of one prefix block of a prompt, in bytes.
const PrefixBlockBytes = 64

// PrefixBlocks returns one hash per full block of a prompt. Each hash also
// covers the blocks before it, so two prompts have as many leading hashes in
// common as leading blocks.
func PrefixBlocks(messages []Message) []uint64 {
	var text []byte
	for _, m := range messages {
		text = append(text, m.Role...)
		text = append(text, 0)
		text = append(text, m.Content...)
		text = append(text, 0)
	}
	var blocks []uint64
	var chain [8]byte
	for len(text) >= PrefixBlockBytes {
		digest := xxhash.New()
		_, _ = digest.Write(chain[:])
		_, _ = digest.Write(text[:PrefixBlockBytes])
		block := digest.Sum64()
		binary.LittleEndian.PutUint64(chain[:], block)
		blocks = append(blocks, block)
		text = text[PrefixBlockBytes:]
	}
	return blocks
}
