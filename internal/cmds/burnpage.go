package cmds

import (
	_ "embed"
	"html/template"
)

//go:embed burn.html
var burnTemplate string

// burnPage renders a forms.Burn as a self-contained HTML page.
var burnPage = template.Must(template.New("burn").Parse(burnTemplate))
