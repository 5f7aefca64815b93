"""Settings file that another process may be writing while it is read."""

import asyncio
import time
from pathlib import Path

import structlog
from result import Err, Ok

# What is read counts as complete once it has not changed for this long.
STILL_MS = 200.0
# A start waits this long for valid settings.
START_LIMIT_MS = 10_000.0
START_POLL_MS = 50.0
# Interval at which the file is checked for changes.
RELOAD_CHECK_MS = 700.0

log = structlog.get_logger()


class SettingsFile:
    """Reads settings, and takes only those that have stood still for a moment.

    A file that is cut off may be valid, with limits that are missing or shorter.

    Parameters
    ----------
    name : str
    decode : callable
        ``(text, file_name) -> Result[settings, list[Finding]]``.
    clock : SystemClock or ManualClock

    Attributes
    ----------
    is_readable : bool
        Whether the last attempt to read it succeeded.
    """

    __slots__ = (
        "name",
        "is_readable",
        "_decode",
        "_clock",
        "_content",
        "_unchanged_since_ms",
        "_taken",
        "_settings",
    )

    def __init__(self, name, decode, clock):
        self.name = name
        self.is_readable = False
        self._decode = decode
        self._clock = clock
        self._content = None
        self._unchanged_since_ms = None
        # Content and settings that are in force.
        self._taken = None
        self._settings = None

    def read(self):
        """Read the file; return whether it has stood still.

        It has also if it could not be read for the same reason all the time.
        """
        try:
            content = Ok(Path(self.name).read_text(encoding="utf-8"))
        except (OSError, UnicodeDecodeError) as error:
            content = Err([str(error)])
        now_ms = self._clock.monotonic_ms()
        if content != self._content:
            self._content = content
            self._unchanged_since_ms = now_ms
        self.is_readable = content.is_ok()
        return now_ms - self._unchanged_since_ms >= STILL_MS

    def decode(self):
        """Return the settings that were read last.

        Returns
        -------
        Result[settings, list[str]]
        """
        return self._content.and_then(
            lambda text: self._decode(text, self.name).map_err(
                lambda findings: [str(finding) for finding in findings]
            )
        )

    def wait_for_start(self, is_stopping):
        """Wait until the settings are valid, for a bounded time.

        Parameters
        ----------
        is_stopping : callable
            Ends the wait when it returns true.

        Returns
        -------
        Result[settings, list[str]]
        """
        limit_ms = self._clock.monotonic_ms() + START_LIMIT_MS
        reported = None
        while True:
            is_still = self.read()
            decoded = self.decode()
            is_last = self._clock.monotonic_ms() >= limit_ms or is_stopping()
            if is_last or (is_still and decoded.is_ok()):
                self._taken = self._content
                self._settings = decoded.unwrap_or(None)
                return decoded
            if decoded.is_err() and decoded != reported:
                reported = decoded
                log.warning("settings_awaited", findings=decoded.unwrap_err())
            time.sleep(START_POLL_MS / 1000)

    async def follow(self, apply):
        """Apply changes, also those since the settings were taken.

        Parameters
        ----------
        apply : callable
            Called with the settings of a changed file.
        """
        is_still = True
        while True:
            await asyncio.sleep((RELOAD_CHECK_MS if is_still else STILL_MS) / 1000)
            is_still = self.read()
            if not is_still or self._content == self._taken:
                continue
            content, decoded = self._content, self.decode()
            if decoded.is_err():
                self._taken = content
                self.report(log.warning, decoded.unwrap_err())
                continue
            settings = decoded.unwrap()
            # A change that fails to be applied is tried again.
            apply(settings)
            log.info("settings_taken", changed=self._settings.changes(settings))
            self._taken, self._settings = content, settings

    def report(self, log_at, findings):
        """Log why the settings that were read last are not taken.

        Parameters
        ----------
        log_at : callable
            Method of a logger.
        findings : list of str
        """
        event = "settings_not_taken" if self.is_readable else "settings_unreadable"
        log_at(event, findings=findings)
