package configsync

import "rattantide/internal/membership"

// noticeResponse is the cloud API's response to a poll for notices.
type noticeResponse struct {
	Seq     int64               `json:"seq"`
	Notices []membership.Notice `json:"notices"`
}
