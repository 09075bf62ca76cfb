"""Reads the configuration again and finds what in it has to wait for a restart."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from violetstack.config import Config, ConfigError, ConfigUnreadableError
from violetstack.log import log
from violetstack.operator_config import ChatFrontConfig, OperatorConfigError

RELOAD_RETRY_S = 0.2  # after the system refused to read the file
# Keys whose change takes effect at the next start.
RESTART_ONLY_NODE_KEYS = ("listen", "settings", "peer_listen", "peers")
RESTART_ONLY_OPERATOR_KEYS = ("hosts", "ledger", "acme", "platform", "duties")


class ReloadedConfig(msgspec.Struct, frozen=True):
    """A configuration that was read while serving; `chat` is checked against the settings in force."""

    config: Config
    chat: ChatFrontConfig | None


def read_config(load_config: Callable[[], Config], running: Config) -> ReloadedConfig | None:
    """Reads the new configuration; None, and a line in the log, if it can't be used.

    Raises:
        ConfigUnreadableError: It can't be read at the moment, which is in the log as well.
    """
    try:
        config = load_config()
        chat = None
        if config.chat is not None:
            chat = ChatFrontConfig(config.chat.operator, running.settings_message)
    except ConfigUnreadableError as error:
        log("config_reload_failed", error=str(error), retry_in_s=RELOAD_RETRY_S)
        raise
    except (ConfigError, OperatorConfigError) as error:
        log("config_reload_failed", error=str(error))
        return None
    return ReloadedConfig(config, chat)


def keys_requiring_restart(running: Config, new: Config) -> list[str]:
    """The keys that differ and that a reload does not take."""
    changed = [key for key in RESTART_ONLY_NODE_KEYS if getattr(new.node, key) != getattr(running.node, key)]
    changed += [
        key
        for key in RESTART_ONLY_OPERATOR_KEYS
        if getattr(running.operator, key, None) != getattr(new.operator, key, None)
    ]
    return changed
