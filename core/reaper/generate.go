package reaper

//go:generate protoc --go_out=. --go_opt=paths=source_relative reaper.proto
