#!/bin/sh
# Generates the messages and the twirp service of api/peer.proto. It needs protoc (Debian package protobuf-compiler).
set -eu
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
go build -o "$bin/protoc-gen-twirp" github.com/twitchtv/twirp/protoc-gen-twirp
PATH="$bin:$PATH" protoc -I api --go_out=. --go_opt=module=quetzalmount.dev/quetzalmount \
	--twirp_out=. --twirp_opt=module=quetzalmount.dev/quetzalmount api/peer.proto
