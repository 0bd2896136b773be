package standin

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const module = "github.com/endivetrack/endivetrack/"

// allowedImports are the packages of this module that stand-ins may import. If they
// imported others, stand-ins could share a bug with the product, and the checks would
// miss it.
var allowedImports = []string{"api", "client", "internal/settings", "internal/resultcode", "internal/peerauth", "internal/process", "internal/operator", "platform/platformtest", "standin"}

// Guards against product code that imports stand-ins, and against stand-ins that
// share decision logic with the product.
func TestImportsBetweenProductAndStandins(t *testing.T) {
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		rel, err := filepath.Rel("..", path)
		if err != nil {
			return err
		}
		for _, spec := range f.Imports {
			imported, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				return err
			}
			checkImport(t, filepath.ToSlash(rel), imported)
		}
		return nil
	})
	assert.NilError(t, err)
}

func checkImport(t *testing.T, file, imported string) {
	t.Helper()
	inner, ours := strings.CutPrefix(imported, module)
	if !ours {
		return
	}
	if strings.HasPrefix(file, "standin/") {
		ok := false
		for _, a := range allowedImports {
			ok = ok || inner == a || strings.HasPrefix(inner, a+"/")
		}
		assert.Assert(t, ok, "%s imports %s", file, inner)
		return
	}
	for _, product := range []string{"api/", "client/", "cmd/", "internal/"} {
		if strings.HasPrefix(file, product) && !strings.HasSuffix(file, "_test.go") {
			assert.Assert(t, !strings.HasPrefix(inner, "standin"), "%s imports %s", file, inner)
		}
	}
}
