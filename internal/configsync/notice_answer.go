package configsync

import "rattantide/internal/membership"

// noticeAnswer is the cloud API's answer to a poll for notices.
type noticeAnswer struct {
	Seq     int64               `json:"seq"`
	Notices []membership.Notice `json:"notices"`
}
