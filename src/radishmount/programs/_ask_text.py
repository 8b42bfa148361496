"""Formats the responses that `radishmount-ask` prints as text for people."""

from datetime import UTC, datetime
from typing import Any


__all__ = [
    "addresses_text",
    "audit_text",
    "explain_text",
    "order_text",
    "query_text",
    "refusal_text",
    "status_text",
]

Content = dict[str, Any]


def refusal_text(error: Content) -> str:
    """Return a refusal as one line."""
    detail = f": {error['detail']}" if error.get("detail") else ""
    line = f"{error.get('number')} {error.get('name')}: {error.get('text')}{detail}"
    return f"{line} ({error.get('ran')})"


def addresses_text(content: Content) -> str:
    """Return one line per address, in the order in which to try them."""
    lines = [
        f"{entry['address']:<22} {entry['data_centre']:<16} {entry['name']}"
        for entry in content["addresses"]
    ]
    return "\n".join([*lines, f"good for {content['valid_for_ms']} ms"])


def query_text(content: Content) -> str:
    """Return the rows, then the coverage of the answer."""
    coverage = content["coverage"]
    lines = [
        f"{row['score']:8.3f}  {row['key']:<30} {_fields_text(row['fields'])}"
        for row in content["rows"]
    ]
    part_count = len(coverage["covered"]) + len(coverage["missing"])
    covered_text = f"{len(coverage['covered'])} of {part_count} parts at index version"
    lines.append(f"{len(content['rows'])} rows; {covered_text} {content['index_version']}")
    lines.append(f"request {content['request_id']}")
    if not content["complete"]:
        lines.append(f"PARTIAL: missing {', '.join(coverage['missing'])}")
    return "\n".join(lines)


def order_text(content: Content) -> str:
    """Return whether an order ran, its error or result, and its ticket."""
    lines = [f"{content['ran']}{' (recorded outcome)' if content.get('replayed') else ''}"]
    if content.get("error"):
        lines.append(refusal_text(content["error"]))
    if content.get("result") is not None:
        lines.append(_fields_text(content["result"]))
    if content.get("ticket"):
        lines.append(f"ticket {content['ticket']}")
    return "\n".join(lines)


def status_text(content: Content) -> str:
    """Return the state of an instance, one line per value, with nested objects indented."""
    return "\n".join(_nested_lines(content, ""))


def audit_text(content: Content) -> str:
    """Return one line per audit record, oldest first."""
    lines = [
        f"{line['sequence']:>6}  {_time_text(line['at_ms'])}  {line['subject']}: {line['change']}"
        f" (version {line['version']}; {line['cause']})"
        for line in content["lines"]
    ]
    return "\n".join(lines) or "no changes are recorded"


def explain_text(content: Content) -> str:
    """Return the outcome of a request and its attempts, in the order in which they were sent."""
    lines = [
        f"{content['request_id']}: {content['caller']} to {content['target']}",
        f"{content['verdict']} after {content['took_ms']:.1f} of {content['deadline_ms']:.0f} ms",
    ]
    if content.get("code"):
        lines.append(f"{content['code']['number']} {content['code']['name']} {content['detail']}")
    if content["index_versions"]:
        lines.append(f"index versions {', '.join(map(str, content['index_versions']))}")
    if content["missing"]:
        lines.append(f"missing {', '.join(content['missing'])}")
    for attempt in sorted(content["attempts"], key=lambda a: a["submitted_after_ms"]):
        lines.append(_attempt_text(attempt))
    return "\n".join(lines)


def _attempt_text(attempt: Content) -> str:
    ended_after_ms = attempt["ended_after_ms"]
    end_text = "given up" if ended_after_ms is None else f"{ended_after_ms:8.1f}"
    return (
        f"  {attempt['submitted_after_ms']:8.1f} to {end_text} ms  {attempt['purpose']:<6} "
        f"{attempt['shard']} at {attempt['endpoint']}: {attempt['result']}"
    )


def _nested_lines(value: Content, indent: str) -> list[str]:
    lines = []
    for key, inner in value.items():
        if isinstance(inner, dict):
            lines.append(f"{indent}{key}:")
            lines.extend(_nested_lines(inner, indent + "  "))
            continue
        text = ", ".join(map(str, inner)) if isinstance(inner, list) else str(inner)
        lines.append(f"{indent}{key}: {text}")
    return lines


def _fields_text(fields: Content) -> str:
    return " ".join(f"{key}={value}" for key, value in fields.items())


def _time_text(at_ms: float) -> str:
    return datetime.fromtimestamp(at_ms / 1000.0, UTC).strftime("%H:%M:%S.%f")[:-3]
