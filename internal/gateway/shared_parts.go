package gateway

import (
	"strconv"
	"strings"
)

// maxSharedParts bounds the shared parts of a prompt that are considered, so that a
// caller can neither fill the memory nor the log with them.
const maxSharedParts = 64

// sharedParts returns the identifiers of the parts that other prompts may contain too:
// all but the last one, which belongs to the request or its session.
func sharedParts(parts []PromptPart) []uint64 {
	if len(parts) < 2 {
		return nil
	}
	ids := make([]uint64, 0, min(len(parts)-1, maxSharedParts))
	for _, part := range parts[:len(parts)-1] {
		if len(ids) == maxSharedParts {
			break
		}
		ids = append(ids, part.ID)
	}
	return ids
}

// formatPartIDs returns the identifiers in the notation of callers.
func formatPartIDs(ids []uint64) string {
	texts := make([]string, len(ids))
	for i, id := range ids {
		texts[i] = strconv.FormatUint(id, 16)
	}
	return strings.Join(texts, ",")
}
