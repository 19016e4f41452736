package claims

//go:generate protoc --go_out=. --go_opt=paths=source_relative claims.proto
//go:generate stringer -type=Op -output=op_string.go
