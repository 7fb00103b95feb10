"""The texts for all codes, in English and Hungarian.

The code is always shown next to the text, so that two operators without a
common language can compare what they see.
"""

from __future__ import annotations

import dataclasses

from azureramp import errors
from azureramp.policy import rules


@dataclasses.dataclass(slots=True, frozen=True)
class Text:
    """A text in both languages.

    Attributes:
        en: The English text.
        hu: The Hungarian text.
    """

    en: str
    hu: str


ERROR_TEXTS: dict[errors.Kind, Text] = {
    errors.Kind.BAD_REQUEST: Text(
        "The request can't be read.", "A kérés nem értelmezhető."
    ),
    errors.Kind.TOO_LARGE: Text(
        "The request is too large.", "A kérés túl nagy."
    ),
    errors.Kind.UNAUTHENTICATED: Text(
        "The token is missing or not known.",
        "A token hiányzik vagy ismeretlen.",
    ),
    errors.Kind.KEYS_OUTDATED: Text(
        "This VM has not heard of changes of keys for too long.",
        "Ez a gép túl régóta nem értesült a kulcsok változásairól.",
    ),
    errors.Kind.ACCOUNT_LIMIT: Text(
        "The client account has reached its limit.",
        "Az ügyfélfiók elérte a korlátját.",
    ),
    errors.Kind.FORBIDDEN: Text(
        "The caller may not do this.", "A hívónak ehhez nincs joga."
    ),
    errors.Kind.NOT_FOUND: Text("There is no such thing.", "Nincs ilyen."),
    errors.Kind.METHOD_NOT_ALLOWED: Text(
        "The method is not allowed here.", "Ez a metódus itt nem használható."
    ),
    errors.Kind.INVALID_RESOURCE: Text(
        "The resource is not valid.", "Az erőforrás érvénytelen."
    ),
    errors.Kind.CONFLICT: Text(
        "The resource was changed meanwhile.",
        "Az erőforrás időközben megváltozott.",
    ),
    errors.Kind.NOT_IN_FORCE: Text(
        "The change is not in force yet.", "A változás még nem lépett életbe."
    ),
    errors.Kind.OVERLOADED: Text(
        "There is too much work now.", "Jelenleg túl sok a munka."
    ),
    errors.Kind.DEADLINE_TOO_SHORT: Text(
        "The answer could not be ready by the deadline.",
        "A válasz nem készülne el a határidőre.",
    ),
    errors.Kind.DEADLINE_PASSED: Text(
        "The deadline has passed.", "A határidő lejárt."
    ),
    errors.Kind.COVERAGE_TOO_LOW: Text(
        "Less data could be searched than asked for.",
        "A kértnél kevesebb adatban lehetett keresni.",
    ),
    errors.Kind.NO_SNAPSHOT: Text(
        "No index version is served by enough searchers.",
        "Egyik indexverziót sem szolgálja ki elég kereső.",
    ),
    errors.Kind.NO_CONFIGURATION: Text(
        "This VM has no configuration yet.",
        "Ennek a gépnek még nincs konfigurációja.",
    ),
    errors.Kind.SHARDS_UNREACHABLE: Text(
        "Too few shards can be asked now.",
        "Jelenleg túl kevés szilánk érhető el.",
    ),
    errors.Kind.SHARDS_MISSING: Text(
        "Too few shards answered.", "Túl kevés szilánk válaszolt."
    ),
    errors.Kind.STORE_HISTORY_GONE: Text(
        "The changes since then are no longer kept.",
        "Az azóta történt változások már nem érhetők el.",
    ),
    errors.Kind.STORE_ANSWER_UNUSABLE: Text(
        "The key-value service's answer could not be used.",
        "A kulcs-érték szolgáltatás válasza nem volt használható.",
    ),
    errors.Kind.QUARANTINED: Text(
        "This request crashed backend servers and is refused for a while.",
        "Ez a kérés háttérkiszolgálókat döntött le, egy ideig elutasítjuk.",
    ),
    errors.Kind.SHED: Text(
        "The backend server refused the work.",
        "A háttérkiszolgáló elutasította a munkát.",
    ),
    errors.Kind.COLD: Text(
        "The backend server is in cold start.",
        "A háttérkiszolgáló hidegindításban van.",
    ),
    errors.Kind.NOT_OWNER: Text(
        "This VM does not own the searcher.", "Ez a VM nem gazdája a keresőnek."
    ),
    errors.Kind.ZONE_OUT: Text(
        "The availability zone is out of service.",
        "A rendelkezésre állási zóna nem üzemel.",
    ),
    errors.Kind.LEAVING: Text(
        "This VM is leaving; use another address.",
        "Ez a VM leáll; használjon másik címet.",
    ),
    errors.Kind.STALE_CONFIGURATION: Text(
        "This VM can't tell whether its configuration is the newest.",
        "Ez a VM nem tudja, hogy a beállításai a legfrissebbek-e.",
    ),
    errors.Kind.STORE_UNAVAILABLE: Text(
        "The platform's key-value service is not available; nothing ran.",
        "A platform kulcs-érték tára nem érhető el; semmi sem futott le.",
    ),
    errors.Kind.STORE_OUTCOME_UNKNOWN: Text(
        "It is not known whether the write took effect.",
        "Nem tudható, hogy az írás megtörtént-e.",
    ),
    errors.Kind.KEY_REUSED: Text(
        "The idempotency key was used for another request.",
        "Az idempotenciakulcsot már más kéréshez használták.",
    ),
    errors.Kind.IN_PROGRESS: Text(
        "The first request with this key still runs.",
        "Az ezzel a kulccsal küldött első kérés még fut.",
    ),
    errors.Kind.OUTCOME_UNKNOWN: Text(
        "The request may have run; check before sending another.",
        "A kérés lefuthatott; ellenőrizze, mielőtt újat küld.",
    ),
    errors.Kind.CONNECTION_LOST: Text(
        "The connection was lost.", "A kapcsolat megszakadt."
    ),
    errors.Kind.CROSSED_REPLY: Text(
        "A reply belonged to another request.",
        "Egy válasz másik kéréshez tartozott.",
    ),
    errors.Kind.VERSION_GONE: Text(
        "The index version is gone.", "Az indexverzió már nincs meg."
    ),
    errors.Kind.BACKEND_CRASHED: Text(
        "The backend server crashed.", "A háttérkiszolgáló összeomlott."
    ),
    errors.Kind.BACKEND_FAILED: Text(
        "The backend server failed.", "A háttérkiszolgáló hibázott."
    ),
    errors.Kind.CANCELLED: Text(
        "The caller went away.", "A hívó megszakította a kérést."
    ),
    errors.Kind.INTERNAL: Text(
        "The system failed; please report it.",
        "A rendszer hibázott; kérjük, jelentse.",
    ),
}


RULES: dict[rules.Rule, Text] = {
    rules.Rule.TYPE: Text(
        "The value has the wrong form.", "Az érték formája hibás."
    ),
    rules.Rule.EMPTY: Text("It must not be empty.", "Nem lehet üres."),
    rules.Rule.TOO_LONG: Text(
        "It is too long; at most so many characters:",
        "Túl hosszú; legfeljebb ennyi karakter:",
    ),
    rules.Rule.NOT_NFC: Text(
        "It must be Unicode in the form NFC.",
        "Csak NFC alakú Unicode lehet.",
    ),
    rules.Rule.CHARACTER: Text(
        "It holds a slash, a control character or outer spaces.",
        "Perjel, vezérlőkarakter vagy szélső szóköz van benne.",
    ),
    rules.Rule.BOUNDS: Text(
        "It is out of bounds; allowed:", "Kívül esik a határokon; megengedett:"
    ),
    rules.Rule.DUPLICATE: Text("It is there twice:", "Kétszer szerepel:"),
    rules.Rule.UNKNOWN_REFERENCE: Text(
        "It refers to something that is not declared:",
        "Olyasmire hivatkozik, ami nincs bejelentve:",
    ),
    rules.Rule.STILL_REFERENCED: Text(
        "Something still refers to it:", "Még hivatkozik rá:"
    ),
    rules.Rule.TOKEN_HASH: Text(
        "It must be a SHA-256 in 64 lower-case hexadecimal digits.",
        "64 kisbetűs hexadecimális jegyű SHA-256 kell.",
    ),
    rules.Rule.ADDRESS: Text(
        "It must be an IP address with a port, as 10.0.0.1:8080:",
        "IP-cím és port kell, mint 10.0.0.1:8080:",
    ),
    rules.Rule.MAP_NAME: Text(
        "It must be the index, a dot and the version:",
        "Az index, egy pont és a verzió kell:",
    ),
    rules.Rule.RANGE_EMPTY: Text(
        "The range is empty; it must end after its first key:",
        "A tartomány üres; az első kulcs után kell végződnie:",
    ),
    rules.Rule.RANGE_GAP: Text(
        "There is a gap before this range, from:",
        "Hézag van e tartomány előtt, innen:",
    ),
    rules.Rule.RANGE_OVERLAP: Text(
        "This range overlaps the one before, which ends at:",
        "Átfedi az előző tartományt, amelynek vége:",
    ),
    rules.Rule.POLICY_NAME: Text(
        "There is one policy only; its name:",
        "Csak egy házirend van; a neve:",
    ),
}


TOOL_MESSAGES: dict[str, Text] = {
    "unchanged": Text("It is already so.", "Már így van."),
    "valid": Text(
        "It is valid; nothing was changed.",
        "Érvényes; semmi sem változott.",
    ),
    "stored": Text("The change is stored.", "A változás el van tárolva."),
    "unknown": Text(
        "The VM asked does not have it yet.",
        "A megkérdezett VM-nél még nincs meg.",
    ),
    "accepted": Text(
        "A majority of the VMs has it; it can't be lost any more.",
        "A VM-ek többségénél megvan; már nem veszhet el.",
    ),
    "in_force": Text(
        "It is in force on every VM that takes work.",
        "Minden munkát fogadó VM-en életbe lépett.",
    ),
    "not_in_force": Text(
        "The change is stored, but was not in force in time.",
        "A változás el van tárolva, de nem lépett időben életbe.",
    ),
    "no_answer": Text(
        "These VMs did not answer, their events are missing:",
        "Ezek a VM-ek nem válaszoltak, az eseményeik hiányoznak:",
    ),
    "dropped": Text(
        "This VM has dropped earlier events for want of room:",
        "Ez a VM helyhiány miatt korábbi eseményeket eldobott:",
    ),
    "reset": Text(
        "Not all changes since then are known; everything follows.",
        "Az azóta történt változások nem mind ismertek; minden következik.",
    ),
}
"""Messages of the operators' command-line tool, by code."""
