"""Command line options of the engine stand-in."""

from .server import argument_parser


def engine_options(arguments=None):
    parser = argument_parser("engine")
    add = parser.add_argument
    add("--memory-mb", type=int, default=40_000)
    add("--max-running", type=int, default=16)
    add("--max-waiting", type=int, default=256)
    add("--kv-capacity-tokens", type=int, default=200_000)
    add("--prefix-cache-tokens", type=int, default=50_000)
    add("--cache-events-kept", type=int, default=2_000)
    add("--cache-event-lag-ms", type=float, default=50)
    add("--token-ms", type=float, default=10)
    add("--batch-slope", type=float, default=0.05, help="growth per running request")
    add("--prefill-ms-per-token", type=float, default=0)
    add("--report-lag-ms", type=float, default=0)
    add("--resume-window-ms", type=float, default=5_000)
    add("--checks-fence", action="store_true")
    add("--role", default="mixed")
    add("--weight-store", default="", help="base URL; without it loads take load-ms")
    add("--fetch-timeout-ms", type=float, default=60_000)
    add("--load-ms", type=float, default=50)
    add("--adapter-ms", type=float, default=5)
    add("--unload-ms", type=float, default=10)
    add("--unload-wait-ms", type=float, default=10_000)
    add(
        "--preload",
        action="append",
        default=[],
        metavar="NAME:VERSION:MEMORY_MB[:BASE]",
        help="resident from the start; an adapter names its base model",
    )
    return parser.parse_args(arguments)
