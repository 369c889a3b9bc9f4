"""What has become of one message in this process, kept short and printed only where it is asked for."""

from __future__ import annotations

from dataclasses import dataclass, field

from . import clock

FIRST, LATEST = 4, 12  # so many steps are kept of its beginning and its end


@dataclass(slots=True)
class History:
    """Steps with their times on the monotonic clock, in milliseconds."""

    steps: list[tuple[float, str, object]] = field(default_factory=list)
    left_out: int = 0

    def add(self, what: str, detail: object = "") -> None:
        if len(self.steps) == FIRST + LATEST:
            del self.steps[FIRST]
            self.left_out += 1
        self.steps.append((clock.now_ms(), what, detail))

    def text(self, since_ms: float) -> str:
        """All steps in one line, with their times since then."""
        said = [f"+{at - since_ms:.0f} {what} {detail}".rstrip() for at, what, detail in self.steps]
        if self.left_out:
            said.insert(FIRST, f"({self.left_out} steps left out)")
        return ", ".join(said)
