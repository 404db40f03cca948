@cli
Feature: Emulated days on the command line
  Guards against a figure or a fault of a day file that is not shown, and files
  that are not written.

  Scenario: A day is played with the whole product and without a part
    When the command line runs "emulate packages/emulator/days/one-service.toml --without throttle --figures tmp/emulate.json --plot tmp/emulate.svg" alone
    Then the command line exits with 0 and prints the snapshot "emulate"
    And the emulated figures are in "tmp/emulate.json" and drawn in "tmp/emulate.svg"

  Scenario Outline: <fault> is refused with its reason
    When the command line runs "emulate <arguments>" alone
    Then the command line exits with <exit> and prints the snapshot "emulate <fault>"

    Examples:
      | fault           | arguments                                                | exit |
      | an unknown part | packages/emulator/days/one-service.toml --without magic  | 19   |
      | a bad seed      | packages/emulator/days/one-service.toml --seed x         | 19   |
      | a missing file  | packages/emulator/days/none.toml                         | 10   |
