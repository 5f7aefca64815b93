"""Validation of a configuration document: schema, templates, cross-references."""

from functools import lru_cache

import orjson

from .findings import Problem, value_problems
from .packing import can_pack
from .schema_checks import load_schema, schema_problems, schema_validator
from .templates import expand_template, parameter_problems, template_problems

# Items whose schema check is cached. A publish changes few of some thousand items;
# checking all of them again would block the event loop of a VM for half a second with
# the document size expected in two years.
SCHEMA_CHECK_CACHE_SIZE = 8_192

_SCHEMA = load_schema("configuration.json")
_SECTIONS = (
    "zones",
    "models",
    "adapters",
    "backends",
    "services",
    "templates",
    "teams",
)
_ITEM_VALIDATORS = {
    section: schema_validator(
        {**_SCHEMA["properties"][section]["items"], "$defs": _SCHEMA["$defs"]}
    )
    for section in _SECTIONS
}
_ITEM_VALIDATORS["expanded team"] = schema_validator(_SCHEMA, "team")
_DOCUMENT_VALIDATOR = schema_validator(
    {
        **_SCHEMA,
        "properties": {
            **_SCHEMA["properties"],
            **{section: {"type": "array"} for section in _SECTIONS},
        },
    }
)


def check_document(document):
    """Check a configuration document.

    Parameters
    ----------
    document : object
        Parsed JSON.

    Returns
    -------
    problems : list of Problem
    teams : list of dict
        The teams with their templates expanded; complete only if there are no
        problems.
    """
    problems = value_problems(document)
    if problems:
        return problems, []
    problems = schema_problems(_DOCUMENT_VALIDATOR, document)
    if not isinstance(document, dict):
        return problems, []
    for section in _SECTIONS:
        items = document.get(section)
        for index, item in enumerate(items if isinstance(items, list) else ()):
            problems.extend(_item_problems(section, item, (section, index)))
    checker = _DocumentChecker(document, problems)
    checker.run()
    return checker.problems, [team.fields for team in checker.teams]


def _item_problems(validator_name, item, path):
    return [
        Problem(path + problem.path, problem.message, problem.at_key)
        for problem in _cached_schema_problems(validator_name, orjson.dumps(item))
    ]


@lru_cache(SCHEMA_CHECK_CACHE_SIZE)
def _cached_schema_problems(validator_name, item_json):
    return schema_problems(_ITEM_VALIDATORS[validator_name], orjson.loads(item_json))


class _ExpandedTeam:
    """A team after template expansion.

    `source_path` maps a path in `fields` to its path in the document.
    """

    __slots__ = ("fields", "source_path")

    def __init__(self, fields, source_path):
        self.fields = fields
        self.source_path = source_path


class _DocumentChecker:
    """Checks one document; some of its items may be malformed.

    Cross-references are checked only in items that are valid against the schema, so
    that each fault is reported once and hides no other fault.
    """

    __slots__ = ("problems", "teams", "_document", "_malformed")

    def __init__(self, document, problems):
        self.problems = problems
        self.teams = []
        self._document = document
        self._malformed = {problem.path[:2] for problem in problems}

    def run(self):
        """Run all checks and collect their problems."""
        for section in _SECTIONS:
            self._check_names(section)
        self._check_model_and_adapter_names()
        self._check_templates()
        self._check_teams()
        self._check_adapters()
        self._check_backends()
        self._check_routes()
        self._check_memory()

    def _add(self, path, message):
        self.problems.append(Problem(path, message))

    def _items(self, section):
        """Yield (path, item) for each item of a section not marked as malformed."""
        for path, item in self._objects(section):
            if path not in self._malformed:
                yield path, item

    def _objects(self, section):
        """Yield (path, item) for each JSON object of a section, valid or not."""
        items = self._document.get(section)
        for index, item in enumerate(items if isinstance(items, list) else ()):
            if isinstance(item, dict):
                yield (section, index), item

    def _names(self, section):
        return {
            item["name"]
            for _, item in self._objects(section)
            if isinstance(item.get("name"), str)
        }

    def _check_names(self, section):
        seen = set()
        for path, item in self._objects(section):
            name = item.get("name")
            if isinstance(name, str):
                if name in seen:
                    self._add((*path, "name"), f"duplicate name {name!r} in {section}")
                seen.add(name)

    def _check_model_and_adapter_names(self):
        models = self._names("models")
        for path, item in self._items("adapters"):
            if item["name"] in models:
                message = f"adapter {item['name']!r} has the name of a model"
                self._add((*path, "name"), message)

    def _check_templates(self):
        for path, template in list(self._items("templates")):
            found = template_problems(template, path)
            if found:
                self.problems.extend(found)
                self._malformed.add(path)

    def _check_teams(self):
        templates = {
            item["name"]: (path, item) for path, item in self._items("templates")
        }
        template_names = self._names("templates")
        for path, item in self._items("teams"):
            if "template" not in item:
                self.teams.append(_ExpandedTeam(item, lambda inner, p=path: p + inner))
            elif item["template"] not in template_names:
                message = f"unknown template {item['template']!r}"
                self._add((*path, "template"), message)
            elif item["template"] in templates:
                self._expand_team(path, item, *templates[item["template"]])
        self._check_team_references()
        self._check_key_hashes()

    def _expand_team(self, path, item, template_path, template):
        parameters = item.get("parameters", {})
        found = parameter_problems(template, parameters, path)
        if found:
            self.problems.extend(found)
            return
        expanded = expand_template(template, parameters, template_path, path)
        fields = {**expanded.value, "name": item["name"]}
        found = [
            Problem(expanded.source_path(problem.path), problem.message, problem.at_key)
            for problem in _item_problems("expanded team", fields, ())
        ]
        self.problems.extend(found)
        if not found:
            self.teams.append(_ExpandedTeam(fields, expanded.source_path))

    def _check_team_references(self):
        for section, title in (
            ("models", "model"),
            ("adapters", "adapter"),
            ("services", "service"),
        ):
            known_names = self._names(section)
            for team in self.teams:
                for index, name in enumerate(team.fields.get(section, ())):
                    if name not in known_names:
                        message = (
                            f"team {team.fields['name']!r} uses the unknown"
                            f" {title} {name!r}"
                        )
                        self._add(team.source_path((section, index)), message)

    def _check_key_hashes(self):
        owners = {}
        for team in self.teams:
            name = team.fields["name"]
            for index, key_hash in enumerate(team.fields.get("keys", ())):
                owner = owners.setdefault(key_hash, name)
                if owner != name:
                    message = f"the key of team {name!r} belongs to team {owner!r}"
                    self._add(team.source_path(("keys", index)), message)

    def _check_adapters(self):
        models = self._names("models")
        for path, item in self._items("adapters"):
            if item["base"] not in models:
                message = f"unknown base model {item['base']!r}"
                self._add((*path, "base"), message)

    def _check_backends(self):
        zones, services = self._names("zones"), self._names("services")
        addresses = {}
        for path, item in self._items("backends"):
            if item["zone"] not in zones:
                self._add((*path, "zone"), f"unknown zone {item['zone']!r}")
            if item["kind"] == "service" and item["service"] not in services:
                message = f"unknown service {item['service']!r}"
                self._add((*path, "service"), message)
            owner = addresses.setdefault(item["address"], item["name"])
            if owner != item["name"]:
                message = f"address {item['address']} belongs to backend {owner!r}"
                self._add((*path, "address"), message)

    def _check_routes(self):
        for path, service in self._items("services"):
            seen = set()
            for index, route in enumerate(service["routes"]):
                for method in route["methods"]:
                    if (route["path"], method) in seen:
                        message = f"duplicate route {method} {route['path']}"
                        self._add((*path, "routes", index), message)
                    seen.add((route["path"], method))

    def _check_memory(self):
        sections = {path[0] for path in self._malformed if path}
        if not sections.isdisjoint({"models", "adapters", "backends"}):
            return
        engine_sizes_mb = [
            int(item["memory_mb"])
            for _, item in self._items("backends")
            if item["kind"] == "engine"
        ]
        largest_mb = max(engine_sizes_mb, default=0)
        model_sizes_mb = {
            item["name"]: int(item["memory_mb"]) for _, item in self._items("models")
        }
        self._check_team_memory(model_sizes_mb, largest_mb)
        loadable_sizes_mb = [
            size for size in model_sizes_mb.values() if size <= largest_mb
        ]
        for path, item in self._items("models"):
            if int(item["memory_mb"]) > largest_mb:
                message = (
                    f"model {item['name']!r} ({int(item['memory_mb'])} MB) fits on no"
                    f" engine; the largest has {largest_mb} MB"
                )
                self._add((*path, "memory_mb"), message)
        if not can_pack(loadable_sizes_mb, engine_sizes_mb):
            message = (
                f"one copy of each model ({sum(loadable_sizes_mb)} MB) does not fit on"
                f" the {len(engine_sizes_mb)} engines ({sum(engine_sizes_mb)} MB)"
            )
            self._add(("models",), message)

    def _check_team_memory(self, model_sizes_mb, largest_mb):
        adapters = {item["name"]: item for _, item in self._items("adapters")}
        for team in self.teams:
            requirements = {
                ("models", index): (name, model_sizes_mb.get(name, 0))
                for index, name in enumerate(team.fields.get("models", ()))
            }
            for index, name in enumerate(team.fields.get("adapters", ())):
                if name in adapters:
                    base_mb = model_sizes_mb.get(adapters[name]["base"], 0)
                    required_mb = base_mb + int(adapters[name]["memory_mb"])
                    requirements["adapters", index] = (name, required_mb)
            for path, (name, required_mb) in requirements.items():
                if required_mb > largest_mb:
                    message = (
                        f"team {team.fields['name']!r}: {name!r} needs {required_mb}"
                        f" MB; the largest engine has {largest_mb} MB"
                    )
                    self._add(team.source_path(path), message)
