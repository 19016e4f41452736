package engineload

//go:generate protoc --go_out=. --go_opt=paths=source_relative engineload.proto
