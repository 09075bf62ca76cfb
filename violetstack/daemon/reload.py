"""Reads the configuration for a reload and determines which changes require a restart."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from violetstack.config import Config, ConfigError, ConfigUnreadableError
from violetstack.log import log
from violetstack.operator_config import ChatFrontConfig, OperatorConfigError

RELOAD_RETRY_S = 0.2  # after the system temporarily could not read the file
# Changes to these keys take effect only after a restart.
RESTART_ONLY_NODE_KEYS = ("listen", "settings", "peer_listen", "peers")
RESTART_ONLY_OPERATOR_KEYS = ("hosts", "ledger", "acme", "platform", "duties")


class ReloadedConfig(msgspec.Struct, frozen=True):
    """A configuration that was read for a reload.

    Attributes:
        config: The configuration.
        chat: The chat front's configuration, checked against the settings of the running process, which a
            reload does not change.
    """

    config: Config
    chat: ChatFrontConfig | None


def read_config(load_config: Callable[[], Config], running: Config) -> ReloadedConfig | None:
    """Reads the new configuration; logs the error and returns None if it is invalid.

    Raises:
        ConfigUnreadableError: The configuration cannot be read at the moment; this is logged too.
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
    """Returns the keys that have changed and that a reload does not apply."""
    changed = [key for key in RESTART_ONLY_NODE_KEYS if getattr(new.node, key) != getattr(running.node, key)]
    changed += [
        key
        for key in RESTART_ONLY_OPERATOR_KEYS
        if getattr(running.operator, key, None) != getattr(new.operator, key, None)
    ]
    return changed
