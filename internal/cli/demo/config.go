package demo

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

const (
	peerToken     = "demo-peer-token"
	operatorToken = "demo-operator-token"
	// chatToken and ordersToken are the bearer tokens of the workspaces engravers
	// and kitchen.
	chatToken   = "demo-engravers-token"
	ordersToken = "demo-kitchen-token"
)

// configuration returns the documents that the demo applies with the operators'
// tool. They are in no particular order.
func configuration() string {
	return fmt.Sprintf(`kind: Route
name: briefs
spec: {model: briefs, pool: briefs, class: chat}
---
kind: Route
name: orders
spec: {prefix: orders, pool: orders, class: orders}
---
kind: Class
name: chat
spec:
  target: {firstToken: 1.3s, betweenTokens: 55ms}
  deadline: 30s
---
kind: Class
name: orders
spec:
  target: {answer: 500ms}
  deadline: 10s
  idempotent: false
---
kind: Workspace
name: engravers
spec: {tokenHash: %s}
---
kind: Workspace
name: kitchen
spec: {tokenHash: %s}
---
kind: Pool
name: briefs
spec: {type: chat, version: briefs-v1, fencing: checked}
---
kind: Pool
name: orders
spec: {type: service, version: orders-v1}
---
kind: Version
name: briefs-v1
spec: {pool: briefs, model: briefs, weights: briefs-v1}
---
kind: Version
name: briefs-v2
spec: {pool: briefs, model: briefs, weights: briefs-v2}
---
kind: Version
name: briefs-v3
spec: {pool: briefs, model: briefs, weights: briefs-v3}
---
kind: Version
name: orders-v1
spec: {pool: orders}
`, hashOf(chatToken), hashOf(ordersToken))
}

// objectCount is the number of documents in configuration.
const objectCount = 12

func hashOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
