@admin
Feature: Admin API
  Guards against requests that reach a handler without a token or a valid body,
  and against a restored store that operators cannot repair.

  Background:
    Given an admin server for the environment "production"

  Scenario: Invalid and unauthorized requests are refused
    Then the admin server refuses each of these requests:
      | case            | method | path                                 | status | code |
      | missing token   | POST   | /v1/environments/production/reassert | 401    | 1901 |
      | wrong token     | POST   | /v1/environments/production/reassert | 401    | 1901 |
      | unknown path    | POST   | /v1/environments/production/nothing  | 404    | 1902 |
      | unknown method  | DELETE | /v1/environments/production/reassert | 404    | 1902 |
      | oversized body  | POST   | /v1/environments/production/submit   | 413    | 1906 |
      | not JSON        | POST   | /v1/environments/production/submit   | 400    | 1903 |
      | unknown field   | POST   | /v1/environments/production/submit   | 400    | 1903 |
      | unknown field   | POST   | /v1/environments/production/promote  | 400    | 1903 |
      | unknown field   | POST   | /v1/environments/production/reassert | 400    | 1903 |
      | unknown field   | POST   | /v1/documents/check                  | 400    | 1903 |
      | no author       | POST   | /v1/environments/production/reassert | 400    | 1903 |
      | no author       | POST   | /v1/moves/findings-v2/take-back      | 400    | 1903 |
      | no author       | POST   | /v1/store/confirm-restore            | 400    | 1903 |
      | long author     | POST   | /v1/moves/findings-v2/take-back      | 400    | 1903 |
      | long author     | POST   | /v1/environments/production/submit   | 400    | 1903 |
      | other fleet     | POST   | /v1/environments/trial/reassert      | 400    | 1903 |
    And the admin server has called no handler

  Scenario: A reassert request uses the active version and its author
    Then the admin server reasserts the active version for its author
