package membership

//go:generate protoc --go_out=. --go_opt=paths=source_relative membership.proto
//go:generate stringer -type=State -output=state_string.go
