package relay

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"peridotpier.example/core/deploy"
	"peridotpier.example/core/revision"
	"peridotpier.example/node/coordinator/coordpb"
)

// DecodeConfig decodes the configuration of an answer; nil: there is none.
func DecodeConfig(s *coordpb.SiteState) (*deploy.Config, error) {
	data := s.Config
	if len(s.PackedConfig) > 0 {
		var err error
		if data, err = revision.Decompress(s.PackedConfig); err != nil {
			return nil, eris.Wrap(err, "unpack configuration")
		}
	}
	if len(data) == 0 {
		return nil, nil
	}
	cfg := new(deploy.Config)
	if err := json.Unmarshal(data, cfg); err != nil {
		return nil, eris.Wrap(err, "decode configuration")
	}
	return cfg, nil
}

// DecodeList decodes the list of an answer, or its changes.
func DecodeList(s *coordpb.SiteState) (put []deploy.Upstream, removed []string, err error) {
	if put, err = decodeUpstreams(s); err != nil || len(s.PackedChanges) == 0 {
		return put, s.Gone, err
	}
	return mergeChanges(put, s.PackedChanges)
}

// decodeUpstreams decodes the upstreams of an answer.
func decodeUpstreams(s *coordpb.SiteState) ([]deploy.Upstream, error) {
	if len(s.PackedList) == 0 {
		return DecodeUpstreams(s.Put)
	}
	return UnpackList(s.PackedList)
}

// UnpackList decodes a list that packList packed.
func UnpackList(packed []byte) ([]deploy.Upstream, error) {
	data, err := revision.Decompress(packed)
	if err != nil {
		return nil, eris.Wrap(err, "unpack list")
	}
	var out []deploy.Upstream
	return out, eris.Wrap(json.Unmarshal(data, &out), "decode list")
}

// DecodeUpstreams decodes upstreams that another host encoded one by one, as JSON.
func DecodeUpstreams(all [][]byte) ([]deploy.Upstream, error) {
	out := make([]deploy.Upstream, len(all))
	for i, data := range all {
		if err := json.Unmarshal(data, &out[i]); err != nil {
			return nil, eris.Wrap(err, "decode upstream")
		}
	}
	return out, nil
}

// mergeChanges merges a list with the segments that follow it; list is empty if they follow
// the state that the host has. Of an upstream that changed several times it returns the
// last change.
func mergeChanges(list []deploy.Upstream, segments [][]byte) (put []deploy.Upstream, removed []string, err error) {
	newest := map[string]*deploy.Upstream{} // nil: removed
	for i := range list {
		newest[list[i].ID] = &list[i]
	}
	for _, packed := range segments {
		data, err := revision.Decompress(packed)
		if err != nil {
			return nil, nil, eris.Wrap(err, "unpack changes of the list")
		}
		var c listChange
		if err := json.Unmarshal(data, &c); err != nil {
			return nil, nil, eris.Wrap(err, "decode changes of the list")
		}
		for i := range c.Put {
			newest[c.Put[i].ID] = &c.Put[i]
		}
		for _, id := range c.Gone {
			newest[id] = nil
		}
	}
	for id, u := range newest {
		if u == nil {
			removed = append(removed, id)
		} else {
			put = append(put, *u)
		}
	}
	return put, removed, nil
}
