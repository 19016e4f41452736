package main

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// TestImportsFollowLayers checks that decisions stay independent of protocols: no
// package of core/ imports platform/ or io/, and only cmd/ and platform/ itself import
// platform/. Packages of lab/ may also import platform/standin.
func TestImportsFollowLayers(t *testing.T) {
	for _, dir := range []string{"core", "io", "lab", "platform"} {
		err := filepath.WalkDir(root+dir, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			checkImports(t, path)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// checkImports checks the imports of one file.
func checkImports(t *testing.T, path string) {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	if err != nil {
		t.Fatal(err)
	}
	dir := filepath.ToSlash(strings.TrimPrefix(filepath.Dir(path), root))
	for _, spec := range file.Imports {
		name, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		insidePlatform := dir == "platform" || strings.HasPrefix(dir, "platform/")
		standInForLab := strings.HasPrefix(dir, "lab/") && name == "monsoonfork/platform/standin"
		if strings.HasPrefix(name, "monsoonfork/platform") && !insidePlatform && !standInForLab {
			t.Errorf("%s imports %s", path, name)
		}
		if strings.HasPrefix(dir, "core/") && strings.HasPrefix(name, "monsoonfork/io/") {
			t.Errorf("%s imports %s", path, name)
		}
	}
}
