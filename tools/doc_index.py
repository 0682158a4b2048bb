"""Write the lists of notes and pages in docs/design/README.md and docs/operators/README.md.

``python -m tools.doc_index`` rewrites the lists, ``--check`` only compares them and exits with 1 if
they differ.
"""

import re
import sys
from collections.abc import Callable, Sequence
from pathlib import Path

from tabulate import tabulate

__all__ = ["main", "render_index"]

DOCS = Path(__file__).resolve().parent.parent / "docs"
INDEX = re.compile(r"<!-- begin index -->.*<!-- end index -->", flags=re.DOTALL)
TITLE = re.compile(r"^# (?:\d{4} )?(.+)$", flags=re.MULTILINE)
SECTION = re.compile(r"^## (.+)$", flags=re.MULTILINE)
COMMAND = re.compile(r"python -m (benchmarks(?:\.report)?(?: [\w.]+)?)")


def list_notes(folder: Path) -> str:
    """Return the table of design notes: title, sections and measurement commands."""
    rows = []
    for path in _pages(folder):
        text = path.read_text(encoding="utf-8")
        sections = ", ".join(SECTION.findall(text))
        commands = ", ".join(f"`{each}`" for each in dict.fromkeys(COMMAND.findall(text)))
        rows.append((_link(path, text), sections, commands or "tests named in the note"))
    return tabulate(rows, headers=("note", "sections", "measured by"), tablefmt="github")


def list_pages(folder: Path) -> str:
    """Return the list of the pages for operators as Markdown bullet points."""
    return "\n".join(
        f"- {_link(path, path.read_text(encoding='utf-8'))}" for path in _pages(folder)
    )


LISTS: dict[str, Callable[[Path], str]] = {"design": list_notes, "operators": list_pages}


def render_index(folder: Path, make_list: Callable[[Path], str]) -> str:
    """Return the text of a folder's README with its list regenerated."""
    text = (folder / "README.md").read_text(encoding="utf-8")
    index = f"<!-- begin index -->\n\n{make_list(folder)}\n\n<!-- end index -->"
    rendered, count = INDEX.subn(lambda _: index, text)
    if count != 1:
        raise ValueError(
            f"expected one place for the list in {folder.name}/README.md, found {count}"
        )
    return rendered


def main(argv: Sequence[str] | None = None) -> int:
    """Rewrite both lists, or only compare them if ``--check`` is given."""
    arguments = sys.argv[1:] if argv is None else list(argv)
    code = 0
    for name, make_list in LISTS.items():
        readme = DOCS / name / "README.md"
        rendered = render_index(readme.parent, make_list)
        if rendered == readme.read_text(encoding="utf-8"):
            continue
        if "--check" in arguments:
            print(f"{name}/README.md is out of date; run python -m tools.doc_index")
            code = 1
        else:
            readme.write_text(rendered, encoding="utf-8")
    return code


def _pages(folder: Path) -> list[Path]:
    return sorted(path for path in folder.glob("*.md") if path.name != "README.md")


def _link(path: Path, text: str) -> str:
    title_match = TITLE.search(text)
    return f"[{title_match.group(1) if title_match else path.stem}]({path.name})"


if __name__ == "__main__":
    sys.exit(main())
