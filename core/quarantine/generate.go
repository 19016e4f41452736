package quarantine

//go:generate protoc --go_out=. --go_opt=paths=source_relative quarantine.proto
