"""Team templates: replace each ``{"$param": name}`` by the parameter's value."""

from .findings import Problem, shorten

REFERENCE_KEY = "$param"

# JSON distinguishes booleans from numbers; in Python, bool is a subclass of int.
_TYPE_CHECKS = {
    "string": lambda value: isinstance(value, str),
    "integer": lambda value: isinstance(value, int) and not isinstance(value, bool),
    "number": lambda value: (
        isinstance(value, (int, float)) and not isinstance(value, bool)
    ),
    "boolean": lambda value: isinstance(value, bool),
    "array": lambda value: isinstance(value, list),
    "object": lambda value: isinstance(value, dict),
}


class ExpandedTemplate:
    """A template expanded with the parameters of one team.

    Parameters
    ----------
    value : object
        The expanded team.
    source_paths : dict
        Path in `value` -> path in the document from which that part was copied.
    """

    __slots__ = ("value", "source_paths")

    def __init__(self, value, source_paths):
        self.value = value
        self.source_paths = source_paths

    def source_path(self, path):
        """Return the path in the document from which a path in `value` comes."""
        path = tuple(path)
        for length in range(len(path), -1, -1):
            origin = self.source_paths.get(path[:length])
            if origin is not None:
                return origin + path[length:]
        return path


def template_problems(template, path):
    """Return the problems of a template, regardless of the teams that use it.

    Parameters
    ----------
    template : dict
        Valid against the schema definition ``template``.
    path : tuple
        Path of the template in the document.

    Returns
    -------
    list of Problem
        Defaults of the wrong type, references to undeclared parameters, and a team
        that is no object or sets its own name.
    """
    problems = []
    declared = template.get("parameters", {})
    for name, parameter in declared.items():
        if "default" in parameter:
            problem = _type_problem(name, parameter["type"], parameter["default"])
            if problem:
                problem_path = (*path, "parameters", name, "default")
                problems.append(Problem(problem_path, problem))
    if _is_reference(template["team"]):
        message = "a template's team must be an object, not a parameter reference"
        problems.append(Problem((*path, "team"), message))
    if "name" in template["team"]:
        message = "a template must not set the name of the team"
        problems.append(Problem((*path, "team", "name"), message, at_key=True))
    for problem_path, name in _iter_references(template["team"], (*path, "team")):
        if not isinstance(name, str) or name not in declared:
            message = f"the template declares no parameter {shorten(repr(name), 80)}"
            problems.append(Problem(problem_path, message))
    return problems


def parameter_problems(template, parameters, path):
    """Return the problems of the parameters that a team passes to a template.

    Parameters
    ----------
    template, parameters : dict
    path : tuple
        Path of the team in the document.

    Returns
    -------
    list of Problem
        Missing and unknown parameters, and values of the wrong type.
    """
    problems = []
    declared = template.get("parameters", {})
    template_label = f"template {template['name']!r}"
    for name, parameter in declared.items():
        if name in parameters:
            problem = _type_problem(name, parameter["type"], parameters[name])
            if problem:
                problems.append(Problem((*path, "parameters", name), problem))
        elif "default" not in parameter:
            message = (
                f"parameter {shorten(repr(name), 80)} of {template_label} is missing"
            )
            problems.append(Problem(path, message))
    for name in parameters:
        if name not in declared:
            message = f"{template_label} has no parameter {shorten(repr(name), 80)}"
            problems.append(Problem((*path, "parameters", name), message, at_key=True))
    return problems


def expand_template(template, parameters, template_path, team_path):
    """Expand a template with the parameters of one team.

    Parameters
    ----------
    template, parameters : dict
        Already checked by `template_problems` and `parameter_problems`.
    template_path, team_path : tuple
        Paths of the template and the team in the document.

    Returns
    -------
    ExpandedTemplate
    """
    declared = template.get("parameters", {})
    source_paths = {(): (*template_path, "team")}

    def substitute(value, target, origin):
        if _is_reference(value):
            name = value[REFERENCE_KEY]
            if name in parameters:
                source_paths[target] = (*team_path, "parameters", name)
                return parameters[name]
            source_paths[target] = (*template_path, "parameters", name, "default")
            return declared[name]["default"]
        if isinstance(value, dict):
            return {
                key: substitute(inner, (*target, key), (*origin, key))
                for key, inner in value.items()
            }
        if isinstance(value, list):
            return [
                substitute(inner, (*target, index), (*origin, index))
                for index, inner in enumerate(value)
            ]
        return value

    value = substitute(template["team"], (), (*template_path, "team"))
    return ExpandedTemplate(value, source_paths)


def _is_reference(value):
    return isinstance(value, dict) and REFERENCE_KEY in value


def _iter_references(value, path):
    """Yield (path, parameter name) of each reference in `value`.

    A malformed reference, which has other fields too, is yielded as a whole.
    """
    if _is_reference(value):
        yield path, value[REFERENCE_KEY] if len(value) == 1 else value
    elif isinstance(value, dict):
        for key, inner in value.items():
            yield from _iter_references(inner, (*path, key))
    elif isinstance(value, list):
        for index, inner in enumerate(value):
            yield from _iter_references(inner, (*path, index))


def _type_problem(name, type_name, value):
    if _TYPE_CHECKS[type_name](value):
        return None
    shortened_value = shorten(repr(value), 80)
    return (
        f"parameter {shorten(repr(name), 80)} must be of type {type_name}:"
        f" {shortened_value}"
    )
