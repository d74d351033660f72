package quetzalmount

//go:generate go tool ogen --target internal/wire/caller --package caller --clean --config api/ogen.yaml api/caller.yaml
//go:generate go tool ogen --target internal/wire/admin --package admin --clean --config api/ogen.yaml api/admin.yaml
//go:generate sh api/protoc.sh
